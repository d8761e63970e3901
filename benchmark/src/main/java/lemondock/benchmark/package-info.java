/**
 * The measurements of docs/PERFORMANCE.md. Gateway, emulated engines and baseline run as processes
 * of their own on this machine; each row of a result compares within one run. Not part of CI.
 */
package lemondock.benchmark;
