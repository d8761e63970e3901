package lemondock.net.http;

/**
 * Why the input of a server's connection cannot be used any further.
 *
 * @param closeReason why the connection ends
 * @param status the status of the response that says so
 * @param text the text of that response
 */
record InputError(CloseReason closeReason, int status, String text) {}
