/**
 * Asynchronous networking: the interfaces between the codecs and the sockets.
 *
 * <p>A process makes all its decisions on one {@link lemondock.net.Loop} (an event loop), so state
 * above the codecs needs no locks. A {@link lemondock.net.Network} creates {@link
 * lemondock.net.Connection}s; each has a {@link lemondock.net.Connection.Handler} that decodes
 * bytes to events on an I/O thread and handles the events on the loop. Comments of fields and
 * methods name one of three threading rules:
 *
 * <ul>
 *   <li><b>Loop thread only</b>: whichever thread runs the loop's tasks at the moment.
 *   <li><b>I/O thread only</b>: the thread of the connection's shard, one batch at a time.
 *   <li><b>Any thread</b>: volatile, immutable or guarded by a lock that the comment names.
 * </ul>
 *
 * <p>Times are in microseconds and sizes in bytes unless a name says otherwise. {@code
 * lemondock.net.nio} implements these interfaces on real sockets; {@code lemondock.net.time}
 * implements the loop on a clock that its owner advances.
 */
package lemondock.net;
