/**
 * The adapter that runs the routing decisions on a simulator's wire: {@code SimulatorAdapter} reads
 * frames of events from standard input and hands each event to its instance of {@link
 * lemondock.policy.Control}, {@code Reply} lays the actions out as the frame that answers. Frames
 * are little-endian; their times are milliseconds, those of the routing decisions microseconds.
 *
 * <p>All of it runs on one thread. Input that does not follow the wire ends the program with a
 * {@code MalformedInputException}, which names the place and the value found; an exception of the
 * routing decisions is reported to the simulator as an action of its instance.
 */
package lemondock.simulator;
