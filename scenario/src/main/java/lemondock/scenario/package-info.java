/**
 * Fault scenarios on loopback sockets within one process. A script ({@link
 * lemondock.scenario.ScenarioScript}) describes a fleet of gateways, emulated engines and a
 * catalogue ({@link lemondock.scenario.ScenarioFleet}), the load ({@link
 * lemondock.scenario.ClientLoad}) and the faults ({@link lemondock.scenario.FaultInjector}). {@link
 * lemondock.scenario.FaultScenario} plays it, and {@link lemondock.scenario.ScenarioAuditor} checks
 * the five rules against the traffic observed on the sockets.
 */
package lemondock.scenario;
