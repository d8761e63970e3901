package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * All that a gateway uses of its process and machine. In production it comes from the JDK; a
 * simulation provides its own.
 *
 * @param loop its decision context, clock and timers
 * @param network its sockets
 * @param disk runs what may block on files, off the loop
 * @param workers prepare large requests, off the I/O threads; bounded, they reject tasks with
 *     {@link RejectedExecutionException}
 * @param resources resources of the process that are in use
 * @param idempotencyFiles the folder that the settings' {@code durable} speaks of; null if they do
 *     not
 */
public record GatewayEnvironment(
    Loop loop,
    Network network,
    Executor disk,
    Executor workers,
    ProcessResources resources,
    FileSystemPort idempotencyFiles) {}
