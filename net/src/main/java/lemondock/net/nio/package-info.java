/**
 * Implements the interfaces of {@link lemondock.net} on the JDK's sockets.
 *
 * <p>{@link lemondock.net.nio.ThreadLoop} is the event loop. Whichever thread has work for it runs
 * it ({@code FlatCombiner}), so one thread reads, handles and writes a token. {@link
 * lemondock.net.nio.AsyncNetwork} has one I/O thread per shard; {@code ListeningPort} accepts
 * connections, and {@code AsyncConnection} manages one socket with its {@code SocketReader} and
 * {@code SocketWriter}. {@link lemondock.net.nio.UnixDomainConnector} and {@link
 * lemondock.net.nio.UdpDatagramSender} are meant for control traffic.
 */
package lemondock.net.nio;
