package shelffront.gateway;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import shelffront.decide.Decide;
import shelffront.route.Router;
import shelffront.route.Router.ListKind;
import shelffront.route.Router.Outcome;
import shelffront.route.Router.Request;
import shelffront.route.Router.Status;
import shelffront.client.Clients;
import shelffront.config.GatewayConfig;
import shelffront.config.MemberList;
import shelffront.discovery.Discovery;
import shelffront.exchange.Attempt;
import shelffront.exchange.Exchange;
import shelffront.net.CloseReason;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.net.TurnLoop;
import shelffront.pg.ProtocolException;
import shelffront.server.Reply;
import shelffront.server.Servers;

/** Joins the client side, the server side and discovery to the decision module, and carries out what it asks. */
public final class Gateway implements Router.Actions, Clients.Taker, Servers.Listener, Discovery.Listener {

    /** Connections arrive for 0.4 s after the order to stop; those that stay idle longer are closed. */
    private static final long LAST_ARRIVALS = 500_000;
    /** When a client that found no room here may come again. */
    private static final long BUSY_WAIT = 200_000;
    private static final long DRAIN_CHECK = 20_000;
    /** Of the descriptors: half for clients, three eighths for hosts, the rest for files, discovery and the JVM. */
    private static final double CLIENT_SHARE = 0.5;
    private static final double HOST_SHARE = 0.375;

    private final Network network;
    private final TurnLoop loop;
    private final GatewayConfig config;
    private final Router router;
    private final Clients clients;
    private final Servers servers;
    private final Discovery discovery;
    private final Map<String, Exchange> exchanges = new HashMap<>();

    public Gateway(Network network, GatewayConfig config) throws IOException {
        this.network = network;
        this.loop = network.loop();
        this.config = config;
        router = new Decide(this);
        servers = new Servers(network, config.settings().limits(), (int) (config.sockets() * HOST_SHARE), this);
        discovery = new Discovery(network, config.discovery(), config.known().revision(), this);
        clients = new Clients(network, config.listen(), (int) (config.sockets() * CLIENT_SHARE),
                config.settings().classes(), this);
    }

    public SocketAddress address() throws IOException {
        return clients.address();
    }

    /** Starts the module with the list as this gateway last had it, then takes clients in. */
    public void start() {
        loop.tick();                 // Loading took a while: time limits set here would else be over at once.
        servers.listed(config.known());
        router.onStart(loop.now(), config.seed(), config.settings());
        clients.accept();
        // In a turn of its own: the first connections to hosts would else be late before the loop looks at them.
        loop.post(() -> router.onMembers(loop.now(), ListKind.REMEMBERED, config.known().revision(),
                config.known().members()));
    }

    /**
     * Takes up a configuration that replaces the running one. Only discovery's address may change under way: the rest
     * is told to the module and the sockets once, and the list that runs is newer than the file's.
     */
    public void reload(GatewayConfig next) {
        discovery.move(next.discovery());
        network.log().println("reloaded, discovery is " + next.discovery()
                + (next.settings().equals(config.settings()) ? "" : "; other settings hold from the next start"));
    }

    /** Finishes what was taken and what still comes in, then stops the loop. */
    public void drain() {
        network.log().println("stopping");
        loop.at(loop.now() + LAST_ARRIVALS, this::stopWhenDone);
    }

    /** Guards against a connection that says nothing, or comes last of all, holding up the end until SIGKILL. */
    private void stopWhenDone() {
        clients.drain();
        if (!clients.isEmpty() || !exchanges.isEmpty()) {
            loop.at(loop.now() + DRAIN_CHECK, this::stopWhenDone);
            return;
        }
        close();
        network.log().println(network.counters());
        loop.stop();
    }

    /** Gives back every socket; on the turn thread, or after it has ended. */
    void close() {
        clients.close();
        discovery.close(CloseReason.DRAINED);
        servers.closeAll(CloseReason.DRAINED);
    }

    // ---- From the client side ---------------------------------------------------------------------------------

    /** Guards an open request against another one under its id. */
    @Override
    public void check(Exchange exchange) throws ProtocolException {
        if (exchanges.containsKey(exchange.id)) {
            throw new ProtocolException("42710", "a request with this id is open");
        }
    }

    @Override
    public void take(Exchange exchange, String session, int group, boolean repeat) {
        if (exchanges.size() >= config.openCap()) {
            exchange.asker.refused(config.settings().limits().toldWait(BUSY_WAIT));
            return;
        }
        exchanges.put(exchange.id, exchange);
        router.onRequest(loop.now(), new Request(exchange.id, exchange.classIndex, session, group,
                exchange.deadline - loop.now(), 0, repeat));
    }

    @Override
    public void left(Exchange exchange) {
        if (exchanges.get(exchange.id) == exchange && !exchange.answered) {
            exchange.answered = true;
            router.onClientGone(loop.now(), exchange.id);
            forget(exchange);
        }
    }

    // ---- From the server side ---------------------------------------------------------------------------------

    @Override
    public void ended(Attempt attempt, Reply reply) {
        Exchange exchange = attempt.exchange;
        attempt.out = false;
        network.counters().add(Counters.Name.valueOf("ATTEMPTS_" + reply.status()));
        if (reply.status() == Status.OK && !exchange.answered) {
            exchange.answered = true;
            exchange.asker.served(reply.messages());
        }
        // From when the request went out: guards against taking the wait for a connection, which may be this program's
        // own in its first seconds, for slowness of the host.
        long took = loop.now() - attempt.sentAt;
        router.onOutcome(loop.now(), new Outcome(exchange.id, attempt.number, attempt.member, reply.status(),
                exchange.answered, took, reply.role(), reply.position(), reply.load()));
        forget(exchange);
    }

    @Override
    public void probed(String member, Reply reply, long took) {
        if (reply.status() != Status.OK) {
            network.counters().add(Counters.Name.PROBES_FAILED);
        }
        router.onProbeResult(loop.now(), member, reply.status(), took, reply.load());
    }

    /** A request is kept until its last attempt has ended: the module is owed every outcome. */
    private void forget(Exchange exchange) {
        if (exchange.answered && exchange.attempts.stream().noneMatch(a -> a.out)) {
            exchanges.remove(exchange.id, exchange);
        }
    }

    // ---- From discovery ---------------------------------------------------------------------------------------

    @Override
    public void heard(MemberList list) {
        servers.listed(list);
        router.onMembers(loop.now(), list.complete() ? ListKind.ALL : ListKind.CHANGES, list.revision(),
                list.members());
    }

    @Override
    public void failed() {
        router.onMembers(loop.now(), ListKind.FAILED, 0, List.of());
    }

    // ---- What the module asks for -----------------------------------------------------------------------------

    @Override
    public void send(String requestId, String member, long timeout) {
        Exchange exchange = exchanges.get(requestId);
        Attempt attempt = new Attempt(exchange, member, loop.now());
        exchange.attempts.add(attempt);
        if (exchange.answered || loop.now() >= exchange.deadline) {
            loop.post(() -> ended(attempt, Reply.of(Status.NOT_SENT)));
            return;
        }
        network.counters().add(Counters.Name.ATTEMPTS_SENT);
        servers.start(attempt);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && attempt < exchange.attempts.size()) {
            servers.cancel(exchange.attempts.get(attempt));
        }
    }

    @Override
    public void reject(String requestId, long retryAfter) {
        end(requestId, asker -> asker.refused(retryAfter));
    }

    @Override
    public void fail(String requestId) {
        end(requestId, Exchange.Asker::failed);
    }

    private void end(String requestId, Consumer<Exchange.Asker> answer) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null && !exchange.answered) {
            exchange.answered = true;
            answer.accept(exchange.asker);
            forget(exchange);
        }
    }

    @Override
    public void probe(String member) {
        servers.probe(member);
    }

    @Override
    public void setTimer(String name, long at) {
        loop.at(at, () -> router.onTimer(loop.now(), name));
    }

    @Override
    public void subscribe(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void fetchList() {
        discovery.fetch();
    }

    /** Gateways of this kind can't reach each other; the settings say so and the module never asks. */
    @Override
    public void tellPeers(int peer, byte[] payload) {
        throw new UnsupportedOperationException("gateways have no way to talk to each other");
    }

    @Override
    public void closeIdle(String member) {
        servers.closeIdle(member);
    }

    @Override
    public void log(String text) {
        network.log().println("module " + text);
    }
}
