/**
 * Fault injection: real gateway processes on loopback between clients, a fault proxy and stand-in
 * model servers, with shims for the clock, system calls and the disk, and an auditor that judges
 * the five rules by what truly arrived.
 */
package lemondock.faultinjection;
