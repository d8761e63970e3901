package lemondock.gateway.reporting;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import lemondock.exporter.Dialer;
import lemondock.exporter.Encoder;
import lemondock.exporter.Environment;
import lemondock.exporter.Reporter;
import lemondock.exporter.StreamDestination;
import lemondock.exporter.collectd.AuthFile;
import lemondock.exporter.collectd.DatagramDestination;
import lemondock.exporter.collectd.Identity;
import lemondock.exporter.collectd.Packets;
import lemondock.exporter.collectd.PutVal;
import lemondock.exporter.collectd.Seal;
import lemondock.exporter.graphite.Pickle;
import lemondock.exporter.graphite.PlainText;
import lemondock.gateway.settings.CollectdSecurityLevel;
import lemondock.gateway.settings.CounterType;
import lemondock.gateway.settings.DestinationKind;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;

/** Makes a collector's destination from its settings. Used once, at the start, off the loops. */
final class DestinationFactory {
  private static final String DEFAULT_PREFIX = "lemondock";
  private static final int DEFAULT_PACKET_BYTES = 1_452;

  private final GatewaySettings.Reporting reporting;
  private final Environment environment;
  private final Reporter reporter;
  private final String instance;

  /** For destinations of one reporter; {@code instance} is the name it reports under. */
  DestinationFactory(
      GatewaySettings.Reporting reporting,
      Environment environment,
      Reporter reporter,
      String instance) {
    this.reporting = reporting;
    this.environment = environment;
    this.reporter = reporter;
    this.instance = instance;
  }

  /**
   * Adds a destination to the reporter.
   *
   * @param pointer the place of its settings, for problems
   * @return what starts it, to be run on the reporter's loop
   * @throws SettingsException if the file of users cannot be used
   */
  Runnable add(GatewaySettings.Destination settings, String pointer) throws SettingsException {
    if (settings.kind() == DestinationKind.COLLECTD) {
      reporter.add(datagrams(settings, pointer));
      return () -> {};
    }
    StreamDestination stream = stream(settings);
    reporter.add(stream);
    return stream::start;
  }

  private DatagramDestination datagrams(GatewaySettings.Destination settings, String pointer)
      throws SettingsException {
    InetSocketAddress address = SettingsFile.parseAddress(settings.address());
    Packets packets =
        new Packets(
            identity(),
            seal(settings, pointer),
            settings.packetBytes() == null ? DEFAULT_PACKET_BYTES : settings.packetBytes(),
            intervalMillis(),
            settings.counters() != CounterType.COUNTER);
    return new DatagramDestination(
        environment.loop(),
        settings.name(),
        address.getHostString(),
        address.getPort(),
        environment.resolver(),
        environment.datagrams(),
        packets,
        reporter.ring(),
        settings.maxSnapshots(),
        GatewaySettings.micros(settings.maxBackoffMs()));
  }

  private StreamDestination stream(GatewaySettings.Destination settings) {
    return new StreamDestination(
        environment.loop(),
        settings.name(),
        dialer(settings),
        encoder(settings),
        reporter.ring(),
        new StreamDestination.Options(
            settings.maxSnapshots(),
            GatewaySettings.micros(settings.resendMs()),
            GatewaySettings.micros(settings.stallMs()),
            GatewaySettings.micros(settings.backoffMs()),
            GatewaySettings.micros(settings.maxBackoffMs())),
        environment.random());
  }

  private Encoder encoder(GatewaySettings.Destination settings) {
    String prefix = settings.prefix() == null ? DEFAULT_PREFIX : settings.prefix();
    boolean tags = Boolean.TRUE.equals(settings.tags());
    return switch (settings.kind()) {
      case GRAPHITE -> new PlainText(prefix, instance, tags);
      case GRAPHITE_PICKLE -> new Pickle(prefix, instance, tags);
      default -> new PutVal(identity(), intervalMillis());
    };
  }

  private Dialer dialer(GatewaySettings.Destination settings) {
    if (settings.path() != null) {
      return handler -> environment.unix().accept(Path.of(settings.path()), handler);
    }
    InetSocketAddress address = SettingsFile.parseAddress(settings.address());
    return Dialer.tcp(
        environment.loop(),
        environment.network(),
        environment.resolver(),
        address.getHostString(),
        address.getPort(),
        GatewaySettings.micros(settings.connectTimeoutMs()));
  }

  private Identity identity() {
    return new Identity(
        reporting.host() != null ? reporting.host() : environment.hostName(), instance);
  }

  private long intervalMillis() {
    return Math.round(reporting.intervalMs());
  }

  private static Seal seal(GatewaySettings.Destination settings, String pointer)
      throws SettingsException {
    if (settings.security() == null || settings.security() == CollectdSecurityLevel.NONE) {
      return new Seal(Seal.Level.NONE, "", "");
    }
    return new Seal(
        settings.security() == CollectdSecurityLevel.SIGN ? Seal.Level.SIGN : Seal.Level.ENCRYPT,
        settings.username(),
        password(settings, pointer));
  }

  private static String password(GatewaySettings.Destination settings, String pointer)
      throws SettingsException {
    Optional<String> password;
    try {
      password =
          AuthFile.password(Files.readAllLines(Path.of(settings.authFile())), settings.username());
    } catch (IOException e) {
      throw new SettingsException(
          List.of(
              settings.authFile()
                  + ": "
                  + pointer
                  + "/authFile: expected a file of lines 'name: password', found: "
                  + e));
    }
    if (password.isEmpty()) {
      throw new SettingsException(
          List.of(
              settings.authFile()
                  + ": "
                  + pointer
                  + "/username: expected a line for user "
                  + settings.username()
                  + ", found none"));
    }
    return password.get();
  }
}
