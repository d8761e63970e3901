/** The timer wheel of an event loop, and an event loop whose clock its owner advances. */
package lemondock.net.time;
