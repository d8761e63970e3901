/** Server-sent events (WHATWG HTML, section 9.2): encoder and incremental decoder; no I/O. */
package lemondock.net.sse;
