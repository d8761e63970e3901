package lemondock.exporter;

import java.nio.file.Path;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import lemondock.net.Connection;
import lemondock.net.DatagramSender;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * The machine's resources that exporters use, separate from those that requests use.
 *
 * @param loop the exporters' loop
 * @param network network whose callbacks run on that loop
 * @param datagramOpener opens datagram sockets
 * @param unixDomainConnector connects to a Unix domain socket; calls the handler on that loop
 * @param resolver resolves host names off that loop and calls back on it
 * @param diskExecutor runs file operations that may block
 * @param random source of numbers in [0, 1)
 * @param hostName the name of this machine
 */
public record ExporterEnvironment(
    Loop loop,
    Network network,
    DatagramSender.Opener datagramOpener,
    BiConsumer<Path, Connection.Handler> unixDomainConnector,
    HostResolver resolver,
    Executor diskExecutor,
    DoubleSupplier random,
    String hostName) {}
