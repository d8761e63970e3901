/**
 * Runs the routing decisions under the wire protocol of a simulator. {@code SimulatorAdapter} reads
 * frames of events from standard input and passes each event to its instance of {@link
 * lemondock.policy.Control}; {@code ReplyFrame} encodes the actions as the reply to a frame. Frames
 * are little-endian. Times are milliseconds in frames and microseconds in the routing decisions.
 *
 * <p>Everything runs on one thread. Input that violates the wire protocol ends the program with a
 * {@code MalformedInputException}, whose message has the position and the value found. An exception
 * thrown by the routing decisions is reported to the simulator as an action of its instance.
 */
package lemondock.simulator;
