/**
 * Fault-injection tests of real gateway processes on loopback. Load clients send requests to the
 * gateways, which reach emulated model servers through a fault proxy. A preloaded library injects
 * faults into each gateway's wall clock, system calls and disk writes. An auditor checks the five
 * rules of the service and three more ({@link lemondock.faultinjection.Rule}) against the requests
 * that actually arrived. {@link lemondock.faultinjection.SoakRun} executes one seeded run, {@link
 * lemondock.faultinjection.SoakMain} executes many. The fault plan, the targets of its faults and
 * the requests of the clients are drawn from the seed alone.
 */
package lemondock.faultinjection;
