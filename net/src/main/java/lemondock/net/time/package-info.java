/** Timers of an event loop, and an event loop on a clock that its owner advances. */
package lemondock.net.time;
