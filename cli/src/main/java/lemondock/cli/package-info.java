/**
 * The program {@code lemondock}: a command a class. Exit codes: 0 success, 1 a rule was broken or
 * service is degraded, 2 wrong use or settings.
 */
package lemondock.cli;
