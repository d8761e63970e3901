/**
 * The measurements of docs/PERFORMANCE.md. The gateway, the emulated engines and the baseline each
 * run in their own process on this machine. The rows of a result are comparable only within one
 * run. Not part of CI.
 */
package lemondock.benchmark;
