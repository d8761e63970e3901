/**
 * The gateway's settings file: its schema, validation and records. Components of the records are
 * keys of the file and keep their names.
 */
package lemondock.gateway.settings;
