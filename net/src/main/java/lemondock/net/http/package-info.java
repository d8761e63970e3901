/**
 * HTTP/1.1 server and client without blocking, on the interfaces of {@link lemondock.net}.
 *
 * <p>Server: {@link lemondock.net.http.HttpServer} accepts, {@code ServerConnection} queues the
 * requests of one client and enforces time limits, {@code RequestAssembler} makes requests of
 * bytes, {@link lemondock.net.http.HttpService} serves them and {@link
 * lemondock.net.http.HttpExchange} writes the response.
 *
 * <p>Client: {@link lemondock.net.http.HttpClient} sends over a {@code ConnectionPool} of {@code
 * ClientConnection}s, {@code ResponseAssembler} makes heads, bodies and events of bytes, and a
 * {@link lemondock.net.http.ResponseReceiver} hears of them.
 *
 * <p>{@link lemondock.net.http.HttpDecoder} and {@link lemondock.net.http.HttpEncoder} know the
 * format of messages and do no I/O.
 */
package lemondock.net.http;
