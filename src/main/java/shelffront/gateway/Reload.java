package shelffront.gateway;

import java.io.IOException;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.net.TurnLoop;

/** Reads the configuration file anew when told to (SIGHUP), on the turn thread. */
public final class Reload {

    private final TurnLoop loop;
    private final Gateway gateway;
    private final Map<String, String> environment;
    private final PrintStream log;
    private final AtomicBoolean asked = new AtomicBoolean();

    public Reload(TurnLoop loop, Gateway gateway, Map<String, String> environment, PrintStream log) {
        this.loop = loop;
        this.gateway = gateway;
        this.environment = new HashMap<>(environment);
        this.log = log;
        // The environment stands as it was at the start; the file that replaced the first is newer.
        this.environment.remove("BALANCER_DISCOVERY");
    }

    /** May be called by any thread. Several orders before the file is read are one: it is read after the last. */
    public void ask() {
        if (asked.compareAndSet(false, true)) {
            loop.post(this::read);
        }
    }

    private void read() {
        asked.set(false);
        try {
            gateway.reload(GatewayConfig.fromEnvironment(environment));
        } catch (IOException | MalformedInputException | RuntimeException e) {
            log.println("reload failed, what was in force stays: " + e);
        }
    }
}
