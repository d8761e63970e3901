/**
 * The interfaces of {@link lemondock.net} on the JDK's sockets.
 *
 * <p>{@link lemondock.net.nio.ThreadLoop} is the event loop; its context is taken by whichever
 * thread has work for it ({@code FlatCombiner}), so a token is read, handled and written by one
 * thread. {@link lemondock.net.nio.AsyncNetwork} has one I/O thread a shard; {@code ListeningPort}
 * accepts, {@code AsyncConnection} is one socket's life with its {@code SocketReader} and {@code
 * SocketWriter}. {@link lemondock.net.nio.UnixDomainConnector} and {@link
 * lemondock.net.nio.UdpDatagramSender} are for control traffic.
 */
package lemondock.net.nio;
