/**
 * The program {@code lemondock}, with one class per command. Exit codes: 0 success, 1 a rule was
 * violated or service is degraded, 2 usage error or invalid settings.
 */
package lemondock.cli;
