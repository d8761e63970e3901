package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * All that a gateway has of the world. Real ones come from the JDK; a simulation puts its own here.
 *
 * @param loop its decision context, clock and timers
 * @param network its sockets
 * @param disk runs what may block on files, off the loop
 * @param workers prepare large requests, off the shards' threads; bounded, they refuse with {@link
 *     RejectedExecutionException}
 * @param resources tells what the process has left
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
