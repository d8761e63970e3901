/** Test helpers for the interfaces of {@link lemondock.net}, also used by other modules. */
package lemondock.net.testing;
