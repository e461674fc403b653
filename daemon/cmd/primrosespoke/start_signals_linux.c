#include <signal.h>

int hang_up_ignored; /* whether SIGHUP was ignored when the process started */

/*
 * Ignores the signals that must not end the process until os/signal has registered their
 * handler. Without this, a SIGHUP during the initialization of the Go packages ends it. None
 * is lost: the settings are read later.
 */
__attribute__((constructor)) static void ignore_signals(void) {
	hang_up_ignored = signal(SIGHUP, SIG_IGN) == SIG_IGN;
	signal(SIGUSR1, SIG_IGN);
}
