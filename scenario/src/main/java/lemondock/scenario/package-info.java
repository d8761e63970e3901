/**
 * Fault scenarios on loopback sockets within one process: a fleet of gateways, emulated engines and
 * a catalogue ({@link lemondock.scenario.ScenarioFleet}), load and faults from a script ({@link
 * lemondock.scenario.FaultScenario}), and the check of the five rules from what passed on the
 * sockets ({@link lemondock.scenario.ScenarioAuditor}).
 */
package lemondock.scenario;
