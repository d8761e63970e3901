/**
 * Remembers calls that must not run twice, by the idempotency keys that clients give them, across
 * restarts and crashes of the gateway.
 *
 * <p>{@link lemondock.idempotency.IdempotencyStore} decides whether a call may run and turns each
 * change into a record; {@link lemondock.idempotency.GroupCommit} makes records durable, many with
 * one sync; {@link lemondock.idempotency.AppendLog} is the write-ahead log on the files of a {@link
 * lemondock.idempotency.FileSystemPort}. A record must be durable before the message that it
 * records is sent. The store and group commit belong to one thread; files are written on another.
 */
package lemondock.idempotency;
