package shelffront.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.net.Network;

/** Reads the configuration file anew when told to (SIGHUP), on the loop thread. */
public final class ConfigReload {

  private final Network network;
  private final Gateway gateway;
  private final Map<String, String> environment;
  private final AtomicBoolean requested = new AtomicBoolean();

  public ConfigReload(Network network, Gateway gateway, Map<String, String> environment) {
    this.network = network;
    this.gateway = gateway;
    this.environment = new HashMap<>(environment);
    // The environment stands as it was at the start; the file that replaced the first is newer.
    this.environment.remove("BALANCER_DISCOVERY");
  }

  /**
   * May be called by any thread. Several orders before the file is read are one: it is read after
   * the last.
   */
  public void request() {
    if (requested.compareAndSet(false, true)) {
      network.loop().post(this::read);
    }
  }

  private void read() {
    requested.set(false);
    try {
      gateway.reload(GatewayConfig.fromEnvironment(environment));
    } catch (IOException | MalformedInputException | RuntimeException e) {
      network.log().println("reload failed, what was in force stays: " + e);
    }
  }
}
