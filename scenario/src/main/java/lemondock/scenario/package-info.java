/**
 * Fault scenarios on loopback sockets within one process: a fleet of gateways, emulated engines and
 * a catalogue ({@link lemondock.scenario.ScenarioFleet}), a script ({@link
 * lemondock.scenario.ScenarioScript}) that names the load ({@link lemondock.scenario.ClientLoad})
 * and the faults ({@link lemondock.scenario.FaultInjector}), both played by {@link
 * lemondock.scenario.FaultScenario}, and the check of the five rules from what passed on the
 * sockets ({@link lemondock.scenario.ScenarioAuditor}).
 */
package lemondock.scenario;
