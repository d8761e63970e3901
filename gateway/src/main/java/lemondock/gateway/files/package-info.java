/** Files that the gateway writes for itself. */
package lemondock.gateway.files;
