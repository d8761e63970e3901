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
 * What reports live on; none of it is shared with requests.
 *
 * @param loop of the reports
 * @param network whose callbacks come on that loop
 * @param unix connects to sockets of the file system, on that loop
 * @param resolver looks names up off that loop
 * @param disk runs what may block on files
 * @param random numbers from 0 up to 1
 * @param hostName this machine's name
 */
public record Environment(
    Loop loop,
    Network network,
    DatagramSender.Opener datagrams,
    BiConsumer<Path, Connection.Handler> unix,
    Dialer.Resolver resolver,
    Executor disk,
    DoubleSupplier random,
    String hostName) {}
