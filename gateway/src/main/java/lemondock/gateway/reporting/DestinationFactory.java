package lemondock.gateway.reporting;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import lemondock.exporter.Connector;
import lemondock.exporter.ExponentialBackoff;
import lemondock.exporter.ExporterEnvironment;
import lemondock.exporter.PeriodicExporter;
import lemondock.exporter.SnapshotEncoder;
import lemondock.exporter.StreamDestination;
import lemondock.exporter.TcpConnector;
import lemondock.exporter.collectd.AuthFile;
import lemondock.exporter.collectd.CollectdIdentifiers;
import lemondock.exporter.collectd.CounterType;
import lemondock.exporter.collectd.DatagramConnector;
import lemondock.exporter.collectd.DatagramDestination;
import lemondock.exporter.collectd.NetworkPacketEncoder;
import lemondock.exporter.collectd.PacketSecurity;
import lemondock.exporter.collectd.PutvalEncoder;
import lemondock.exporter.collectd.SecurityLevel;
import lemondock.exporter.graphite.PickleEncoder;
import lemondock.exporter.graphite.PlaintextEncoder;
import lemondock.gateway.settings.CollectdCounterType;
import lemondock.gateway.settings.CollectdSecurityLevel;
import lemondock.gateway.settings.DestinationKind;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;

/** Creates a collector's destination from its settings. Used once at startup, off the loops. */
final class DestinationFactory {
  private static final String DEFAULT_PREFIX = "lemondock";
  private static final int DEFAULT_PACKET_BYTES = 1_452;

  private final GatewaySettings.Reporting reporting;
  private final ExporterEnvironment environment;
  private final PeriodicExporter exporter;
  private final String instance;

  /**
   * Creates a factory for the destinations of one exporter; {@code instance} is the name that it
   * reports under.
   */
  DestinationFactory(
      GatewaySettings.Reporting reporting,
      ExporterEnvironment environment,
      PeriodicExporter exporter,
      String instance) {
    this.reporting = reporting;
    this.environment = environment;
    this.exporter = exporter;
    this.instance = instance;
  }

  /**
   * Adds a destination to the exporter.
   *
   * @param pointer JSON pointer of its settings, for problem messages
   * @return an action that starts the destination, to be run on the exporter's loop
   * @throws SettingsException if the authentication file cannot be used
   */
  Runnable add(GatewaySettings.Destination settings, String pointer) throws SettingsException {
    if (settings.kind() == DestinationKind.COLLECTD) {
      exporter.addDestination(datagramDestination(settings, pointer));
      return () -> {};
    }
    StreamDestination destination = streamDestination(settings);
    exporter.addDestination(destination);
    return destination::start;
  }

  private DatagramDestination datagramDestination(
      GatewaySettings.Destination settings, String pointer) throws SettingsException {
    NetworkPacketEncoder encoder =
        new NetworkPacketEncoder(
            identifiers(),
            packetSecurity(settings, pointer),
            settings.packetBytes() == null ? DEFAULT_PACKET_BYTES : settings.packetBytes(),
            intervalMillis(),
            settings.counters() == CollectdCounterType.COUNTER
                ? CounterType.COUNTER
                : CounterType.DERIVE);
    return new DatagramDestination(
        environment.loop(),
        new DatagramConnector(
            environment.resolver(),
            environment.datagramOpener(),
            SettingsFile.parseAddress(settings.address())),
        encoder,
        exporter.buffer(),
        new DatagramDestination.Options(
            settings.name(),
            settings.maxSnapshots(),
            GatewaySettings.micros(settings.maxBackoffMs())));
  }

  private StreamDestination streamDestination(GatewaySettings.Destination settings) {
    return new StreamDestination(
        environment.loop(),
        connector(settings),
        encoder(settings),
        exporter.buffer(),
        new StreamDestination.Options(
            settings.name(),
            settings.maxSnapshots(),
            GatewaySettings.micros(settings.resendMs()),
            GatewaySettings.micros(settings.stallMs()),
            new ExponentialBackoff.Policy(
                GatewaySettings.micros(settings.backoffMs()),
                GatewaySettings.micros(settings.maxBackoffMs()),
                environment.random())));
  }

  private SnapshotEncoder encoder(GatewaySettings.Destination settings) {
    String prefix = settings.prefix() == null ? DEFAULT_PREFIX : settings.prefix();
    boolean tags = Boolean.TRUE.equals(settings.tags());
    return switch (settings.kind()) {
      case GRAPHITE -> new PlaintextEncoder(prefix, instance, tags);
      case GRAPHITE_PICKLE -> new PickleEncoder(prefix, instance, tags);
      default -> new PutvalEncoder(identifiers(), intervalMillis());
    };
  }

  private Connector connector(GatewaySettings.Destination settings) {
    if (settings.path() != null) {
      return handler -> environment.unixDomainConnector().accept(Path.of(settings.path()), handler);
    }
    return new TcpConnector(
        environment.loop(),
        environment.network(),
        environment.resolver(),
        SettingsFile.parseAddress(settings.address()),
        GatewaySettings.micros(settings.connectTimeoutMs()));
  }

  private CollectdIdentifiers identifiers() {
    return new CollectdIdentifiers(
        reporting.host() != null ? reporting.host() : environment.hostName(), instance);
  }

  private long intervalMillis() {
    return Math.round(reporting.intervalMs());
  }

  private static PacketSecurity packetSecurity(GatewaySettings.Destination settings, String pointer)
      throws SettingsException {
    if (settings.security() == null || settings.security() == CollectdSecurityLevel.NONE) {
      return new PacketSecurity(SecurityLevel.NONE, "", "");
    }
    return new PacketSecurity(
        settings.security() == CollectdSecurityLevel.SIGN
            ? SecurityLevel.SIGN
            : SecurityLevel.ENCRYPT,
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
