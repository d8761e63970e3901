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
 * What exporters need of the machine. None of it is shared with requests.
 *
 * @param loop the exporters' loop
 * @param network whose callbacks come on that loop
 * @param datagramOpener opens sockets for datagrams
 * @param unixDomainConnector connects to a Unix domain socket; calls the handler on that loop
 * @param resolver resolves names away from that loop and calls back on it
 * @param diskExecutor runs what may block on files
 * @param random numbers from 0 to below 1
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
