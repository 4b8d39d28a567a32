package shelffront.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import shelffront.admin.AdminServer;
import shelffront.admin.Tenancy;
import shelffront.admin.Tokens;
import shelffront.gateway.Gateway;
import shelffront.net.Budget;
import shelffront.net.Counters;
import shelffront.net.Log;
import shelffront.net.Network;
import shelffront.net.TurnLoop;
import shelffront.share.Shares;
import shelffront.store.Store;
import shelffront.store.Store.ConflictException;
import shelffront.store.Store.Kind;
import shelffront.tenant.SpecJson.SpecException;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.Tenants;

/** A gateway for many tenants with its store and its administration, as {@code serve --config} starts it. */
public final class Hosted implements Tenancy.Control {

    private final Network network;
    private final TurnLoop loop;
    private final Tenants tenants;
    private final Gateway gateway;
    private final Store store;
    private final Tokens tokens;
    private final Tenancy tenancy;
    private final AdminServer admin;

    public Hosted(HostedConfig config, Log log) throws IOException, SpecException {
        Counters counters = new Counters();
        loop = new TurnLoop(() -> ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()), counters);
        network = Network.open(loop, new Budget(config.bufferBytes()), counters, log);
        store = config.store() == null ? Store.inMemory() : Store.open(config.store());
        try {
            Shares shares = new Shares(config.requestsPerSecond(), config.openRequests(), loop.now());
            tenants = new Tenants(network, shares, new Budget(Gateway.hostSockets(config.sockets())),
                    System.nanoTime());
            tokens = new Tokens(store, System::currentTimeMillis);
            tenancy = new Tenancy(store, this, System::currentTimeMillis);
            tenancy.start();
            seed(config);
            gateway = new Gateway(network, config.listen(), config.sockets(), tenants);
            admin = config.admin() == null ? null : new AdminServer(config.admin(), store, tenancy, tokens, log);
        } catch (ConflictException e) {
            store.close();
            throw new IllegalStateException("nobody else has the store yet", e);
        } catch (IOException | SpecException | RuntimeException e) {
            store.close();
            throw e;
        }
    }

    /** Puts in the tenants of a file that the store has none of; those it has stand as administrators left them. */
    public int seed(HostedConfig config) throws SpecException, ConflictException {
        int count = 0;
        for (JsonNode tenant : config.tenants()) {
            String id = tenant.path("id").asText();
            if (store.get(Kind.TENANT, id) == null) {
                tenancy.put(id, 0, tenant, "file", "create");
                count++;
            }
        }
        return count;
    }

    /** Takes clients and administrators in, and serves until it is drained; the caller's thread is the turn thread. */
    public void run() throws InterruptedException {
        if (admin != null) {
            admin.start();
        }
        gateway.start();
        loop.run();
        if (admin != null) {
            admin.close();
        }
        store.close();
        network.group().shutdown();
    }

    /** Runs on a thread of its own, which ends with {@link #drain}. */
    public Thread start() {
        Thread turns = new Thread(() -> {
            try {
                run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "turns");
        turns.start();
        return turns;
    }

    /** Ends {@link #run} once what was taken is answered. Any thread may call. */
    public void drain() {
        loop.post(gateway::drain);
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) gateway.address();
    }

    /** Where administrators connect; null where there is no administration. */
    public InetSocketAddress adminAddress() {
        return admin == null ? null : admin.address();
    }

    public Tokens tokens() {
        return tokens;
    }

    public Store store() {
        return store;
    }

    /** What the whole of it holds: for tests that count what is left. */
    public record Held(int deadlines, long bufferBytes, Counters counters) { }

    public CompletableFuture<Held> held() {
        CompletableFuture<Held> held = new CompletableFuture<>();
        loop.post(() -> held.complete(new Held(loop.deadlines(), network.budget().held(), network.counters())));
        return held;
    }

    @Override
    public void apply(TenantSpec spec, LongConsumer inForce) {
        loop.post(() -> tenants.apply(spec, inForce));
    }

    @Override
    public void remove(String id, LongConsumer gone) {
        loop.post(() -> tenants.remove(id, gone));
    }

    @Override
    public CompletableFuture<Tenant.Usage> usage(String id) {
        CompletableFuture<Tenant.Usage> usage = new CompletableFuture<>();
        loop.post(() -> usage.complete(tenants.usage(id)));
        return usage;
    }
}
