/**
 * Fault injection: real gateway processes on loopback between load clients, a fault proxy and
 * emulated model servers, with a preloaded library for the clock, system calls and the disk, and an
 * auditor that judges the five rules by what truly arrived. {@link
 * lemondock.faultinjection.SoakRun} plays one seeded run, {@link lemondock.faultinjection.SoakMain}
 * many. A plan, what its faults choose and what clients send are drawn from the seed alone.
 */
package lemondock.faultinjection;
