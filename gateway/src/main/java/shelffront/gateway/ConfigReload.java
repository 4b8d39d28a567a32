package shelffront.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.net.Network;

/**
 * Reloads the configuration file on request (SIGHUP). The file is read on the event loop; if it
 * cannot be read or is invalid, the running configuration stays in effect.
 */
public final class ConfigReload {

  private final Network network;
  private final Gateway gateway;
  private final Map<String, String> environment;
  private final AtomicBoolean requested = new AtomicBoolean();

  public ConfigReload(Network network, Gateway gateway, Map<String, String> environment) {
    this.network = network;
    this.gateway = gateway;
    this.environment = new HashMap<>(environment);
    // The environment is fixed at process start, so the discovery address in the file is newer and
    // takes precedence on a reload.
    this.environment.remove("BALANCER_DISCOVERY");
  }

  /**
   * Requests a reload. Any thread may call. Requests that arrive before the file is read are
   * coalesced into one reload, which reads the file after the last of them.
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
      network
          .log()
          .println("configuration reload failed, the running configuration stays in effect: " + e);
    }
  }
}
