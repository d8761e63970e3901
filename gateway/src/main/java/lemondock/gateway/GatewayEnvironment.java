package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * Everything that a gateway uses of its process and machine. In production it comes from the JDK; a
 * simulation provides its own.
 *
 * @param loop the thread that makes all decisions, with its clock and timers
 * @param network its sockets
 * @param disk runs tasks that may block on files, off the loop
 * @param workers prepare large requests, off the I/O threads; the queue is bounded and rejects
 *     tasks with {@link RejectedExecutionException}
 * @param resources resources of the process that are in use
 * @param idempotencyFiles the directory that the setting {@code durable} names; null if it is not
 *     set
 */
public record GatewayEnvironment(
    Loop loop,
    Network network,
    Executor disk,
    Executor workers,
    ProcessResources resources,
    FileSystemPort idempotencyFiles) {}
