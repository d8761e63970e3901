/** Files that the gateway writes for itself. Blocks, so it is called off the loops. */
package lemondock.gateway.files;
