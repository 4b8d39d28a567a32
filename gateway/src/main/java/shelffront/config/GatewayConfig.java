package shelffront.config;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import shelffront.routing.RoutingSettings;

/**
 * The configuration of a single-tenant gateway, from the environment and a JSON file.
 *
 * @param maxMemoryBytes the memory that the process may use; 0 if it is not limited
 */
public record GatewayConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int maxSockets,
    int maxOpenRequests,
    RoutingSettings settings,
    EndpointList knownEndpoints,
    long maxMemoryBytes) {

  private static final int DEFAULT_MAX_SOCKETS = 1024;
  private static final int DEFAULT_MAX_OPEN_REQUESTS = 20_000;
  private static final int SEED_RADIX = 16;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_FILE_BYTES = 1 << 20;
  private static final int MEBIBYTE_SHIFT = 20;

  /** Creates a configuration without a limit on memory. */
  public GatewayConfig(
      String name,
      InetSocketAddress listenAddress,
      InetSocketAddress discoveryAddress,
      long seed,
      int maxSockets,
      int maxOpenRequests,
      RoutingSettings settings,
      EndpointList knownEndpoints) {
    this(
        name,
        listenAddress,
        discoveryAddress,
        seed,
        maxSockets,
        maxOpenRequests,
        settings,
        knownEndpoints,
        0);
  }

  /**
   * Reads the configuration file that the environment names. Environment variables take precedence
   * over the values of the file.
   *
   * @throws IOException if the file cannot be read
   * @throws MalformedInputException if a required value is missing or a value is invalid
   */
  public static GatewayConfig fromEnvironment(Map<String, String> environment)
      throws IOException, MalformedInputException {
    Map<?, ?> root = JsonReader.parseObject(readText(file(environment)));
    Map<?, ?> settings = JsonReader.object(root, "settings");
    Map<?, ?> limits = JsonReader.object(root, "limits");
    return new GatewayConfig(
        environmentOrFile(environment, "BALANCER_NAME", root, "name"),
        parseAddress(environmentOrFile(environment, "BALANCER_LISTEN", root, "listen")),
        parseAddress(environmentOrFile(environment, "BALANCER_DISCOVERY", root, "discovery")),
        seed(JsonReader.text(root, "seed")),
        (int) JsonReader.number(limits, "sockets", DEFAULT_MAX_SOCKETS),
        (int)
            JsonReader.number(
                JsonReader.object(settings, "limits"), "openCap", DEFAULT_MAX_OPEN_REQUESTS),
        RoutingSettingsCodec.read(settings),
        EndpointList.read(JsonReader.object(root, "known")),
        (long) JsonReader.number(limits, "memory_mb", 0) << MEBIBYTE_SHIFT);
  }

  /**
   * Returns the path of the configuration file.
   *
   * @throws MalformedInputException if the environment does not name one
   */
  public static Path file(Map<String, String> environment) throws MalformedInputException {
    String path = environment.get("BALANCER_CONFIG");
    if (path == null) {
      throw new MalformedInputException(
          "environment variable BALANCER_CONFIG is not set; it must name the configuration file");
    }
    return Path.of(path);
  }

  /** Limits the size, so that reloading an oversized file cannot exhaust the gateway's memory. */
  private static String readText(Path path) throws IOException, MalformedInputException {
    try (InputStream in = Files.newInputStream(path)) {
      byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
      if (bytes.length > MAX_FILE_BYTES) {
        throw new MalformedInputException(
            path
                + " is larger than "
                + MAX_FILE_BYTES
                + " bytes, the limit for a configuration file");
      }
      return new String(bytes, UTF_8);
    }
  }

  private static String environmentOrFile(
      Map<String, String> environment, String variable, Map<?, ?> root, String name)
      throws MalformedInputException {
    String value = environment.get(variable);
    return value != null ? value : JsonReader.text(root, name);
  }

  private static long seed(String hex) throws MalformedInputException {
    try {
      return Long.parseUnsignedLong(hex, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw new MalformedInputException(
          "seed is \"" + hex + "\", expected an unsigned 64-bit hexadecimal number");
    }
  }

  /**
   * Parses an address of the form {@code host:port}. The host must be a literal IP address, since
   * the gateway resolves no names through DNS.
   */
  public static InetSocketAddress parseAddress(String text) throws MalformedInputException {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, Math.max(0, colon));
    String port = text.substring(colon + 1);
    if (!host.matches("[0-9.]+|\\[[0-9A-Fa-f:.]+]")
        || !port.matches("[0-9]{1,5}")
        || Integer.parseInt(port) > MAX_PORT) {
      throw new MalformedInputException(
          "invalid address \"" + text + "\", expected host:port with a literal IP address");
    }
    return new InetSocketAddress(host, Integer.parseInt(port));
  }
}
