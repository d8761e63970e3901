/**
 * Atomic replacement of files that the gateway writes. Blocks on file I/O, so call it off the
 * loops.
 */
package lemondock.gateway.files;
