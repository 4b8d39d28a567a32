package shelffront;

import static java.util.stream.Collectors.toList;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * All decisions of shelffront. The interface, with every type, event and action, is Router.java.
 *
 * <p>In one sentence: a session's read goes to a replica known to have applied the session's last write,
 * after a short bounded wait, else to the primary. What cannot be sent yet is held in its group and looked at
 * again when something in the group changes; a timer covers every held request. All times are microseconds.
 */
public final class Decide implements Router {

    // ---- Constants ----------------------------------------------------------------------------------------

    private static final long HOLD = 50_000;  // Longest wait for a replica that covers (design).
    private static final long SCOUT_PAUSE = 100_000;  // After a round of misses; an election takes seconds.
    /** A replica's entry is old after this long and is probed again if reads want it. */
    private static final long ENTRY_OLD = 200_000;
    /** A replica that refuses what it lacks is taken to keep its pace for this long after it was heard. */
    private static final long TRUST = 20_000_000;
    private static final double PROBES_PER_REQUEST = 1;  // Bounds the cost of probing.
    private static final int PROBES_AT_ONCE = 2;  // In a group whose reads wait.
    /** A member is silent when the unanswered waits of all it holds reach this many usual answer times. */
    private static final double SILENT_WAITS = 8;
    private static final double IN_TIME = 1.2;  // Usual answer times that an attempt must have left.
    private static final int STUCK = 4;  // Held ones that find no member and speak for their class.
    /** First ban of a failing member; doubles with each failure up to the greatest. */
    private static final long BAN = 300_000;
    private static final long BAN_MOST = 2_400_000;
    private static final long PAUSE = 40_000;  // First one after a refused connection or failed probe.
    private static final int BREAKS = 2;  // Lost connections in a row that tell nothing of a member.
    private static final long SCARCE = 20_000_000;  // Connections stay scarce after a refused one.
    /** Smoothed answer time, as a share of the aim, above which a member is given less at a time. */
    private static final double FULL_LOAD = 0.4;
    /** Share of the primary's places that reads without need of it may fill (design: a bounded share). */
    private static final double PRIMARY_SHARE = 0.3;
    /** Requests at a time that a member gets from all instances before anything is known of it. */
    private static final double FIRST_LIMIT = 24;
    private static final double SMOOTHING = 1_000_000;  // Of a member's answers, however many there are.
    private static final double MOST_SLOW = 10;  // Usual answer times that one answer counts at most.
    private static final double LATE_WORTH = 0.5;  // A class with less late is dropped at its aim.
    private static final double UNCONNECTED = 1.5;  // Cost of a member to which no connection is open.
    private static final double STEADY = 20;  // Seconds over which usual traffic is counted.
    /** Sessions whose last write is remembered; older ones are folded into their group's floor. */
    private static final int SESSIONS = 20_000;

    // ---- State --------------------------------------------------------------------------------------------

    /** A member as this instance sees it. */
    private static final class Node {
        final String id;
        Member entry;
        Group group;
        boolean open;                     // listed as live: may be sent to
        long position = UNKNOWN;          // applied up to here; only moves forward
        long heardAt = UNKNOWN;           // when that position was heard
        long missedAt = UNKNOWN;          // when it turned a read away as too recent
        long probedAt = UNKNOWN;
        long connectedUntil = UNKNOWN;    // a connection is open, unless it is used or the member closed it
        boolean probing;                  // a probe is out
        final Recent slow = new Recent(1);   // answer times over the usual one of the class
        double load = 0.2;                // answer time over the aim of the class, smoothed
        double took = 100_000;            // answer time, smoothed
        double limit;                     // requests at a time; under 1: one now and then
        long limitCutAt = UNKNOWN;
        long weighedAt = UNKNOWN;
        long answeredAt = UNKNOWN;
        int failures;                     // in a row
        int breaks;                       // connections that broke or never came up, in a row
        long scarceUntil = UNKNOWN;       // its connections: others wait for those that idle here
        long bannedUntil = UNKNOWN;
        boolean onTrial;                  // banned before and not proved since: one request at a time
        final Recent sends = new Recent(STEADY);
        long sentAt = UNKNOWN;
        final LinkedHashSet<Attempt> out = new LinkedHashSet<>();

        Node(String id) {
            this.id = id;
        }

        double size() {
            return Math.max(0.01, entry.size());
        }
    }

    private static final class Group {
        final TreeMap<String, Node> nodes = new TreeMap<>();
        /** Held requests by class, in time, then late; those that left are dropped when met. */
        final List<LinkedHashSet<Pending>> held;
        Node primary;
        long primaryAt = UNKNOWN;         // time for which the newest word on the primary holds
        String scouted = "";              // last member that a write tried in search of the primary
        Pending scout;
        long scoutAfter = UNKNOWN;
        final Recent slow = new Recent(4);    // of all its members together
        final Recent wantedLong = new Recent(STEADY);
        final Recent wantedShort;          // over the fall time
        long floor = UNKNOWN;             // covers the writes of forgotten sessions

        Group(int queues, double fallSeconds) {
            wantedShort = new Recent(fallSeconds);
            held = Stream.<LinkedHashSet<Pending>>generate(LinkedHashSet::new).limit(queues).toList();
        }
    }

    private final class Attempt {
        final Pending request;
        final Node node;
        final int number;
        final long sentAt = now;
        final long need;                  // position that the answer had to have
        Status status;                    // null while it is out

        Attempt(Pending request, Node node) {
            this.request = request;
            need = request.need();
            this.node = node;
            number = request.attempts.size();
        }
    }

    /** A request that still owes its final answer. */
    private final class Pending {
        final Request request;
        final ClassSettings type;
        final Group group;
        final long arrival = now;
        final long deadline;
        final long token;                 // position that a session read must see
        final ArrayList<Attempt> attempts = new ArrayList<>(2);
        boolean open = true;
        LinkedHashSet<Pending> queue;     // where it is held, or null
        boolean missed;                   // a replica turned it away: the hold is over

        Pending(Request request, ClassSettings type, Group group, long token) {
            this.request = request;
            this.type = type;
            this.group = group;
            this.deadline = arrival + request.left();
            this.token = token;
        }

        /** Position that a replica must have to answer this now. */
        long need() {
            return type.read() == Read.BOUNDED ? now - type.bound() : token;
        }

        int outstanding() {
            return (int) attempts.stream().filter(a -> a.status == null).count();
        }

        /** First attempt that ran or may have run; null when it is known that none did. */
        Attempt mayHaveRun() {
            return attempts.stream().filter(a -> a.status == null || !a.status.neverRan).findFirst()
                    .orElse(null);
        }

        boolean tried(Node node) {
            return attempts.stream().anyMatch(a -> a.node == node);
        }
    }

    /** Events of late, each worth less the longer ago it was: their count and the mean of their values. */
    private static final class Recent {
        final double seconds;
        double count;
        double sum;
        long since;

        Recent(double seconds) {
            this.seconds = seconds;
        }

        double count(long time) {
            return count * Math.exp((since - time) / (seconds * 1e6));
        }

        /** The mean, drawn to what is known from elsewhere where events are few. */
        double mean(long time, double prior, double weight) {
            double faded = Math.exp((since - time) / (seconds * 1e6));
            return (sum * faded + prior * weight) / (count * faded + weight);
        }

        void add(long time, double value) {
            double faded = Math.exp((since - time) / (seconds * 1e6));
            sum = sum * faded + value;
            count = count * faded + 1;
            since = time;
        }
    }

    private record Wake(long at, long order, Pending owner, Runnable task) { }

    private final Actions actions;
    private Settings settings;
    private Random random;
    private long now;
    private final TreeMap<String, Node> nodes = new TreeMap<>();
    private final TreeMap<Integer, Group> groups = new TreeMap<>();
    private final HashMap<String, Pending> pending = new HashMap<>();
    private final HashMap<String, Attempt> attemptsOut = new HashMap<>();   // by request id and number
    private final LinkedHashMap<String, Long> sessions = new LinkedHashMap<>();
    private final PriorityQueue<Wake> wakes =
            new PriorityQueue<>(Comparator.comparingLong(Wake::at).thenComparingLong(Wake::order));
    private long wakeOrder;
    private int ended;                    // requests, since the queue of wakes was cleared
    private long wakeAt = Long.MAX_VALUE;
    private double[] usual;               // answer time by class, smoothed
    private final ArrayList<Integer> order = new ArrayList<>();   // of the queues of held requests
    private double probes = 20;           // what may be spent now; see PROBES_PER_REQUEST
    private double usualSends;            // sends of late to a warm member of size 1
    private long dearUntil = UNKNOWN;     // connections take too long to set up
    private int listFailures;
    private long loggedAt = UNKNOWN;

    public Decide(Actions actions) {
        this.actions = actions;
    }

    // ---- Events -------------------------------------------------------------------------------------------

    @Override
    public void onStart(long time, long seed, Settings given) {
        now = time;
        settings = given;
        random = new Random(seed);
        usual = new double[given.classes().size()];
        for (int i = 0; i < usual.length; i++) {
            usual[i] = given.classes().get(i).aim() / 4.0;
            order.add(i);
            order.add(i + usual.length);
        }
        if (given.listAsked()) {
            actions.subscribe(true);
        }
        tend();
    }

    @Override
    public void onMembers(long time, ListKind kind, long version, List<Member> members) {
        now = time;
        if (kind == ListKind.FAILED) {
            long wait = Math.min(2_000_000, 100_000L << Math.min(5, listFailures++));
            at(null, now + wait / 2 + random.nextInt((int) wait), () -> actions.subscribe(true));
            return;
        }
        listFailures = 0;
        if (kind != ListKind.CHANGES) {
            List<String> named = members.stream().map(Member::id).toList();
            List.copyOf(nodes.values()).stream().filter(n -> !named.contains(n.id))
                    .forEach(n -> close(n, true));
        }
        for (Member m : members) {
            if (m.availability() == Availability.LIVE) {
                open(m);
            } else if (nodes.containsKey(m.id())) {
                close(nodes.get(m.id()), m.availability() == Availability.GONE);
            }
        }
        groups.values().forEach(this::release);
    }

    @Override
    public void onRequest(long time, Request request) {
        now = time;
        probes = Math.min(20, probes + PROBES_PER_REQUEST);
        ClassSettings type = settings.classes().get(request.classIndex());
        Group group = group(request.group());
        long token = UNKNOWN;
        if (type.read() == Read.SESSION) {
            token = settings.tokensCarried() ? UNKNOWN : group.floor;
            token = Math.max(token, sessions.getOrDefault(request.session(), UNKNOWN));
            token = request.sinceWrite() > 0 ? Math.max(token, now - request.sinceWrite()) : token;
        }
        Pending p = new Pending(request, type, group, token);
        pending.put(request.id(), p);
        group.wantedLong.add(now, 1);
        group.wantedShort.add(now, 1);
        at(p, Math.max(now, p.deadline - settings.tick()), () -> giveUp(p));
        dispatch(p);
    }

    @Override
    public void onOutcome(long time, Outcome o) {
        now = time;
        Attempt a = attemptsOut.remove(o.requestId() + o.attempt());
        Node node = a != null ? a.node : nodes.get(o.member());
        if (node != null) {
            hear(node, o.load());
            told(node, o.role(), now);
            if (o.position() != UNKNOWN && o.role() != Role.UNKNOWN) {
                advance(node, o.position());
            }
            node.missedAt = o.status() == Status.MISS ? now : node.missedAt;
        }
        if (a == null) {
            return;
        }
        a.status = o.status();
        a.node.out.remove(a);
        boolean giveBack = now < a.node.scarceUntil && a.node.out.isEmpty();
        a.node.connectedUntil = giveBack ? UNKNOWN : now + settings.limits().connectionIdle();
        if (giveBack) {
            actions.closeIdle(a.node.id);
        }
        judge(a, o);
        Pending p = a.request;
        if (o.status() == Status.OK && p.type.read() == Read.WRITE && p.request.session() != null
                && !settings.tokensCarried()) {
            remember(p.request, o.position() == UNKNOWN ? now : o.position());
        }
        if (o.finished() || o.status() == Status.OK) {
            close(p);
        }
        if (p.open && p.outstanding() == 0) {
            if (o.status() == Status.MISS && p.type.read() != Read.WRITE) {
                p.missed = true;
            }
            dispatch(p);
        }
        release(p.group);
    }

    @Override
    public void onProbeResult(long time, String member, Status status, long took, Load load) {
        now = time;
        Node node = nodes.get(member);
        if (node != null) {
            node.probing = false;
            hear(node, status == Status.OK ? load : null);
            if (status == Status.OK && now >= node.bannedUntil) {
                node.onTrial = false;        // else a lone instance could never try it with a once-only write
            } else if (status == Status.TIMEOUT
                    || status == Status.CONNECT_FAILED && ++node.breaks > BREAKS) {
                pause(node, "does not answer probes");
            }
            release(node.group);
        }
    }

    @Override
    public void onMessage(long time, int from, byte[] payload) {
        now = time;
    }

    @Override
    public void onTimer(long time, String name) {
        now = time;
        if (time >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
        }
        while (!wakes.isEmpty() && wakes.peek().at() <= now) {
            wakes.poll().task().run();
        }
        arm();
    }

    @Override
    public void onClientGone(long time, String requestId) {
        now = time;
        Optional.ofNullable(pending.get(requestId)).ifPresent(this::close);
    }

    /** Runs the task at a time, unless it is about a request that has ended by then. */
    private void at(Pending owner, long when, Runnable task) {
        wakes.add(new Wake(when, wakeOrder++, owner, task));
        arm();
    }

    private void arm() {
        if (!wakes.isEmpty() && wakes.peek().at() < wakeAt) {
            wakeAt = wakes.peek().at();
            actions.setTimer("wake", wakeAt);
        }
    }

    // ---- Ordinary path: primary, positions, choice, wait, fallback ----------------------------------------

    /** Sends the request now if a member suits, else holds it; gives up where no further try can help. */
    private void dispatch(Pending p) {
        if (!p.open) {
            return;
        }
        if (p.attempts.size() >= settings.limits().attempts() || !mayTryAgain(p)
                || now >= lastUsefulStart(p)) {
            if (p.outstanding() == 0) {
                giveUp(p);
            }
            return;
        }
        Node node = choose(p);
        if (node != null && send(p, node)) {
            return;
        }
        if (p.queue == null && p.outstanding() == 0) {
            hold(p, 0);
            at(p, Math.max(now + settings.tick(), lastUsefulStart(p)), () -> dispatch(p));
            if (p.type.lateShare() >= LATE_WORTH) {
                at(p, p.arrival + p.type.aim(), () -> hold(p, p.queue == null ? -1 : usual.length));
            }
            at(p, p.arrival + HOLD, () -> release(p.group));
            wantPositions(p.group);
        }
    }

    /** Puts a request in the queue of its class, the one for late requests where that is asked. */
    private void hold(Pending p, int late) {
        if (p.open && late >= 0) {
            p.queue = p.group.held.get(p.request.classIndex() + late);
            p.queue.add(p);
        }
    }

    /** After this time an answer is worth little or nothing. */
    private long usefulUntil(Pending p) {
        return p.type.lateShare() < LATE_WORTH ? Math.min(p.deadline, p.arrival + p.type.aim()) : p.deadline;
    }

    /** After this time an attempt would most likely be answered too late to be worth anything. */
    private long lastUsefulStart(Pending p) {
        return usefulUntil(p) - (long) Math.min(usual[p.request.classIndex()], p.type.aim() / 2.0);
    }

    /** Whether the member is expected to answer in time; else the try is not worth its work. */
    private boolean inTime(Node n, Pending p) {
        double usually = usual[p.request.classIndex()] * slow(n);
        return now + Math.max(IN_TIME * usually, Math.min(2 * usually, p.type.aim() / 2.0)) < usefulUntil(p);
    }

    /** Looks again at held requests, the most worth for their work first; a few stuck speak for a class. */
    private void release(Group g) {
        for (int index : order) {
            LinkedHashSet<Pending> q = g.held.get(index);
            int stuck = 0;
            for (Iterator<Pending> each = q.iterator(); each.hasNext() && stuck < STUCK;) {
                Pending p = each.next();
                if (p.queue == q) {
                    dispatch(p);
                }
                if (p.queue == q) {
                    stuck++;
                } else {
                    each.remove();
                }
            }
        }
    }

    private Node choose(Pending p) {
        Read read = p.type.read();
        if (read == Read.WRITE || read == Read.FRESH) {
            return choosePrimary(p);
        }
        Node n = cheapest(p, p.need());
        boolean waited = p.missed || now >= p.arrival + HOLD || read == Read.ANY;
        return n == null && waited ? fallback(p, read == Read.SESSION ? 1 : PRIMARY_SHARE) : n;
    }

    /** The replica with the shortest expected answer among those that suit; null when none does. */
    private Node cheapest(Pending p, long need) {
        Node best = null;
        double bestCost = Double.MAX_VALUE;
        for (Node n : p.group.nodes.values()) {
            if (n == p.group.primary || p.tried(n) || !fits(n, p, 1) || !covers(n, need)) {
                continue;
            }
            double cost = slow(n) * (n.out.size() + 1) / n.size() * (0.95 + 0.1 * random.nextDouble())
                    * (now < n.connectedUntil ? 1 : now < dearUntil ? 4 : UNCONNECTED)
                    * (n.entry.zone().equals(settings.zone()) ? 1 : 1 + 5 * settings.crossZonePrice());
            if (cost < bestCost) {
                best = n;
                bestCost = cost;
            }
        }
        return best;
    }

    /** The primary for a read that no replica takes, within a share of its room while it answers as usual. */
    private Node fallback(Pending p, double share) {
        Node n = p.group.primary;
        return n != null && fits(n, p, share) && (share >= 1 || n.load < FULL_LOAD) ? n : null;
    }

    private boolean fits(Node n, Pending p, double share) {
        return healthy(n, p) && hasRoom(n, share) && inTime(n, p);
    }

    /** Whether a replica is known to have the position, or may be trusted to where it checks itself. */
    private boolean covers(Node n, long need) {
        if (need == UNKNOWN || n.position >= need) {
            return true;
        }
        if (settings.check() == LagCheck.NONE || n.position == UNKNOWN) {
            return false;
        }
        // The record trails reality. Where the member itself refuses what it lacks, it is taken to have kept
        // the pace it had when last heard; a miss disproves that until news come.
        if (n.missedAt >= n.heardAt && n.missedAt > now - ENTRY_OLD) {
            return false;
        }
        long patience = settings.check() == LagCheck.WAIT ? settings.hold() / 2 : 0;
        return n.heardAt > now - TRUST && n.position + (now - n.heardAt) + patience >= need;
    }

    /** The primary as last told; without one, a single write at a time tries the members in id order. */
    private Node choosePrimary(Pending p) {
        Group g = p.group;
        if (g.primary != null) {
            return fits(g.primary, p, 1) ? g.primary : null;
        }
        if (g.scout != null && g.scout.open && g.scout != p && g.scout.outstanding() > 0 || now < g.scoutAfter
                || p.type.read() != Read.WRITE || p.attempts.size() + 2 > settings.limits().attempts()) {
            return null;
        }
        String next = g.scouted;
        for (int i = 0; i < g.nodes.size(); i++) {
            next = g.nodes.higherKey(next);
            if (next == null) {
                g.scouted = "";
                g.scoutAfter = now + SCOUT_PAUSE;
                at(null, g.scoutAfter, () -> release(g));
                return null;
            }
            if (healthy(g.nodes.get(next), p)) {
                g.scouted = next;
                g.scout = p;
                return g.nodes.get(next);
            }
        }
        return null;
    }

    /** Takes a word on a member's role that held at the given time; words older than the newest count not. */
    private void told(Node n, Role role, long asOf) {
        Group g = n.group;
        if (asOf < g.primaryAt || role == Role.UNKNOWN || g.primary == n == (role == Role.PRIMARY)) {
            return;
        }
        if (role == Role.PRIMARY) {
            g.primary = n;
            g.primaryAt = asOf;
            g.scouted = "";
            note("primary of group " + n.entry.group() + " is " + n.id);
        } else if (g.primary == n) {
            g.primary = null;
            g.primaryAt = asOf;
            g.scouted = n.id;
            note("group " + n.entry.group() + " has no known primary");
        }
    }

    private void hear(Node n, Load load) {
        if (load != null && load.position() != UNKNOWN) {
            advance(n, load.position());
            told(n, load.role(), Math.min(load.position(), now));
        }
    }

    private void advance(Node n, long position) {
        if (position <= now && position > n.position) {
            n.position = position;
            n.heardAt = now;
        }
    }

    /** An OK of a replica that refuses what it lacks proves the position needed; it keeps its pace. Guards
     *  against late reports, by which replicas that keep up look behind until no read goes to them. */
    private void proved(Attempt a) {
        Node n = a.node;
        if (settings.check() != LagCheck.NONE && a.need > n.position) {
            long lag = n.position == UNKNOWN ? a.sentAt : n.heardAt - n.position;
            n.heardAt = Math.min(a.sentAt, a.need + lag);
            n.position = a.need;
        }
    }

    private void remember(Request r, long commit) {
        sessions.merge(r.session(), commit, Math::max);
        if (sessions.size() > SESSIONS) {
            Iterator<Map.Entry<String, Long>> eldest = sessions.entrySet().iterator();
            Group g = groups.get(r.group());
            g.floor = Math.max(g.floor, eldest.next().getValue());
            eldest.remove();
        }
    }

    // ---- Guards for the rules -----------------------------------------------------------------------------

    /** The single way out for attempts: every rule is checked here, whatever chose the member. */
    private boolean send(Pending p, Node n) {
        Attempt ran = p.mayHaveRun();
        boolean allowed = p.open && now < p.deadline && p.attempts.size() < settings.limits().attempts()
                && n.open && n.entry.group() == p.request.group() && mayTryAgain(p)
                && (ran == null || p.type.scope() != Scope.ZONE || p.type.effect() != Effect.KEYED
                        || ran.node.entry.zone().equals(n.entry.zone()))
                && (p.outstanding() == 0 || settings.limits().duplicate())
                && withinColdBudget(p, n) && freshEnough(p, n);
        if (!allowed) {
            return false;
        }
        Attempt a = new Attempt(p, n);
        p.attempts.add(a);
        p.queue = null;
        n.out.add(a);
        attemptsOut.put(p.request.id() + a.number, a);
        n.sends.add(now, 1);
        n.sentAt = now;
        actions.send(p.request.id(), n.id, 0);
        if (p.type.effect() == Effect.REPEATABLE) {
            at(p, now + (long) usual[p.request.classIndex()], () -> secondCopy(a));
        }
        return true;
    }

    /** Whether earlier attempts leave the class free to try again. */
    private boolean mayTryAgain(Pending p) {
        Attempt ran = p.mayHaveRun();
        return ran == null || switch (p.type.effect()) {
            case REPEATABLE -> true;
            case KEYED -> now + settings.tick() < ran.sentAt + p.type.window();
            case ONCE -> false;
        };
    }

    /** Stale reads: only the primary, or a member that has the position or refuses for itself. */
    private boolean freshEnough(Pending p, Node n) {
        if (n == p.group.primary || p.type.read() == Read.ANY || p.type.read() == Read.WRITE) {
            return true;
        }
        return p.type.read() != Read.FRESH && (settings.check() != LagCheck.NONE || n.position >= p.need());
    }

    /** Share of its capacity that a member has at least, by the time since it started. */
    private double warmth(Node n) {
        long age = now - n.entry.startedAt();
        if (n.entry.startedAt() <= 0 || age >= settings.rules().coldTime()) {
            return 1;
        }
        double from = settings.rules().coldFrom();
        return from + (1 - from) * Math.max(0, age) / settings.rules().coldTime();
    }

    /**
     * Cold members: each request draws one lot for each, so that what comes from here keeps to half the
     * multiple of what a warm member gets from here, times its warmth. No instance has a least share, and no
     * request tries one twice: in search of a primary, tries that are turned away are work for it too.
     */
    private boolean withinColdBudget(Pending p, Node n) {
        double warmth = warmth(n);
        if (warmth >= 1 || p.tried(n)) {
            return warmth >= 1;
        }
        Group g = n.group;
        double wanted = Math.max(g.wantedLong.count(now),
                (g.wantedShort.count(now) - 1) * STEADY / g.wantedShort.seconds);
        double usually = usualSends * n.size() + 1.0 / g.nodes.size();
        double share = warmth * settings.rules().fallMultiple() / 2 * usually / (wanted + 1);
        return new SplittableRandom(p.request.id().hashCode() * 31L + n.id.hashCode()).nextDouble() < share;
    }

    /** The single way out for final answers that the module gives. */
    private void giveUp(Pending p) {
        if (!p.open) {
            return;
        }
        close(p);
        if (p.type.effect() == Effect.REPEATABLE || p.mayHaveRun() == null
                || p.type.effect() == Effect.KEYED && p.type.scope() == Scope.ALL) {
            long wait = p.group.primary == null ? 1_000_000 : 200_000;   // usual length of what is in the way
            actions.reject(p.request.id(), settings.limits().toldWait(wait));
        } else {
            actions.fail(p.request.id());
        }
    }

    /** Ends the request here; what is still out for it is called off. */
    private void close(Pending p) {
        p.open = false;
        p.queue = null;
        pending.remove(p.request.id());
        if (++ended > 64 + wakes.size() / 8) {   // timers of ended requests must not pile up
            ended = 0;
            wakes.removeIf(w -> w.owner() != null && !w.owner().open);
        }
        for (Attempt a : p.attempts) {
            if (a.status == null && settings.limits().cancel() && p.type.effect() == Effect.REPEATABLE) {
                actions.cancel(p.request.id(), a.number);
            }
        }
    }

    // ---- Health and overload ------------------------------------------------------------------------------

    /** Whether a member may be tried: listed, not banned, not silent, one at a time on trial. */
    private boolean healthy(Node n, Pending p) {
        if (!n.open || now < n.bannedUntil
                || n.onTrial && (!n.out.isEmpty() || p.type.effect() == Effect.ONCE)) {
            return false;
        }
        if (silent(n)) {
            ban(n, "is silent");
            return false;
        }
        return withinColdBudget(p, n);
    }

    private boolean silent(Node n) {
        double waits = 0;
        for (Attempt a : n.out) {
            waits += (now - Math.max(n.answeredAt, a.sentAt)) / usual[a.request.request.classIndex()];
        }
        return now - n.answeredAt >= n.took / 2 && waits > SILENT_WAITS * Math.max(1, Math.min(3, slow(n)));
    }

    private void ban(Node n, String why) {
        n.bannedUntil = now + Math.min(BAN_MOST, BAN << Math.min(5, n.failures));
        n.onTrial = true;
        n.limit = Math.max(1, n.limit / 2);
        pause(n, why);
    }

    /** Leaves a member out for a moment that doubles with each failure in a row. */
    private void pause(Node n, String why) {
        n.bannedUntil = Math.max(n.bannedUntil, now + Math.min(BAN_MOST, PAUSE << Math.min(6, n.failures++)));
        note(n.id + " " + why);
        at(null, n.bannedUntil, () -> release(n.group));
    }

    /** Whether a member may get one more now; a limit under one spaces requests out instead. */
    private boolean hasRoom(Node n, double share) {
        double limit = n.limit * warmth(n) * share;
        return n.out.size() < limit && (limit >= 1 || now > n.sentAt + n.took / limit);
    }

    /** What an outcome says about the member's health and load. */
    private void judge(Attempt a, Outcome o) {
        Node n = a.node;
        ClassSettings type = a.request.type;
        int c = a.request.request.classIndex();
        if (o.status() == Status.FULL) {
            n.answeredAt = now;
            slowness(n, MOST_SLOW);
        }
        switch (o.status()) {
            case OK -> {
                proved(a);
                double took = Math.max(1, o.took());
                usual[c] += 0.03 * (Math.min(took, 4 * usual[c]) - usual[c]);
                slowness(n, took / usual[c]);
                alive(n);
                weigh(n, took, type);
                if (n.load <= FULL_LOAD && n.out.size() + 1 >= n.limit * 0.7) {
                    n.limit = Math.min(200, n.limit + Math.min(0.2, 1 / n.limit));
                }
            }
            case MISS -> alive(n);
            case FULL -> cut(n, 0.7);
            case TIMEOUT, CANCELLED -> {
                slowness(n, (now - a.sentAt) / usual[c]);
                weigh(n, Math.max(now - a.sentAt, n.took), type);
            }
            // Thin proof of a dead member: one that is well loses connections too. It is probed; after
            // several in a row, or one that takes too long to set up, it is left out for a moment. Refused at
            // once, its table may be full and idle ones are given back for a while; where setting up takes
            // too long, those that are open are kept.
            case CONNECT_FAILED, RESET -> {
                n.connectedUntil = UNKNOWN;
                boolean unmade = o.status() == Status.CONNECT_FAILED;
                boolean dear = unmade && o.took() > settings.limits().connectTimeout() / 2;
                dearUntil = dear ? now + SCARCE : dearUntil;
                if (dear || ++n.breaks > BREAKS) {
                    n.scarceUntil = unmade && !dear ? now + SCARCE : UNKNOWN;
                    pause(n, "does not accept connections");
                }
                if (!n.probing) {
                    probe(n);
                }
            }
            default -> { }
        }
    }

    /** Takes an answer time, or how long one has been waited for, into the member's load. */
    private void weigh(Node n, double took, ClassSettings type) {
        double weight = Math.max(0.15, 1 - Math.exp((n.weighedAt - now) / SMOOTHING));
        n.weighedAt = now;
        n.took += weight * (took - n.took);
        n.load += weight * (took / type.aim() - n.load);
        if (n.load > FULL_LOAD) {
            cut(n, 0.85);
        }
    }

    private void slowness(Node n, double ratio) {
        n.slow.add(now, Math.min(ratio, MOST_SLOW));
        n.group.slow.add(now, Math.min(ratio, MOST_SLOW));
    }

    /** Expected answer time over the usual one: few answers of a member are drawn to those of its group. */
    private double slow(Node n) {
        return n.slow.mean(now, n.group.slow.mean(now, 1, 1), 3);
    }

    private void alive(Node n) {
        n.answeredAt = now;
        n.failures = 0;
        n.breaks = 0;
        n.onTrial = false;
        n.bannedUntil = UNKNOWN;
    }

    private void cut(Node n, double factor) {
        if (now - n.limitCutAt > n.took) {
            n.limitCutAt = now;
            n.limit = Math.max(0.05, n.limit * factor);
        }
    }

    /** A read unanswered for long gets a second copy when its member fell silent, was banned or left. */
    private void secondCopy(Attempt a) {
        Pending p = a.request;
        if (!p.open || a.status != null || p.attempts.get(p.attempts.size() - 1) != a) {
            return;
        }
        boolean lost = !a.node.open || now < a.node.bannedUntil || silent(a.node);
        boolean may = settings.limits().duplicate() && now < lastUsefulStart(p);
        Node n = may && lost ? choose(p) : null;
        boolean copied = n != null && n != a.node && send(p, n);
        if (lost && settings.limits().cancel() && (copied || !may)) {
            actions.cancel(p.request.id(), a.number);
        }
        if (copied) {
            return;
        }
        if (now < lastUsefulStart(p)) {
            at(p, now + (long) usual[p.request.classIndex()], () -> secondCopy(a));
        }
    }

    // ---- Membership and probing ---------------------------------------------------------------------------

    private Group group(int number) {
        double fallSeconds = Math.max(0.001, settings.rules().fallTime() / 1e6);
        return groups.computeIfAbsent(number, k -> new Group(2 * usual.length, fallSeconds));
    }

    private void open(Member m) {
        Node n = nodes.computeIfAbsent(m.id(), Node::new);
        boolean fresh = n.entry == null || !n.open || n.entry.startedAt() != m.startedAt();
        if (n.entry != null && n.entry.group() != m.group()) {
            n.group.nodes.remove(n.id);
        }
        n.entry = m;
        n.open = true;
        n.limit = n.limit > 0 ? n.limit : Math.max(1, FIRST_LIMIT / settings.routers());
        n.group = group(m.group());
        n.group.nodes.put(n.id, n);
        if (m.primary() && n.group.primary == null && n.group.primaryAt == UNKNOWN) {
            n.group.primary = n;
        }
        if (fresh) {
            n.bannedUntil = UNKNOWN;
            probe(n);
        }
    }

    private void close(Node n, boolean gone) {
        if (gone && n.open && settings.rules().softRemoval()) {
            return;                       // the list does not prove it down (rule 6): own attempts tell
        }
        n.open = false;
        if (gone) {
            nodes.remove(n.id);
            n.group.nodes.remove(n.id);
        }
        n.group.primary = n.group.primary == n ? null : n.group.primary;
    }

    private void probe(Node n) {
        if (settings.limits().probe() && n.open) {
            n.probedAt = now;
            n.probing = true;
            actions.probe(n.id);
        }
    }

    /** Probes for a held request, within the allowance: a few at a time, any while no primary is known. */
    private void wantPositions(Group g) {
        boolean lost = g.primary == null || now < g.primary.bannedUntil;
        long out = g.nodes.values().stream().filter(n -> n.probing).count();
        List<Node> old = g.nodes.values().stream().filter(n -> (lost || n != g.primary)
                && now - Math.max(n.probedAt, lost ? UNKNOWN : n.heardAt) > ENTRY_OLD / 2).collect(toList());
        Collections.shuffle(old, random);
        for (Node n : old) {
            if (probes >= 1 && out++ < PROBES_AT_ONCE) {
                probes--;
                probe(n);
            }
        }
    }

    /** Regular care. */
    private void tend() {
        order.sort(Comparator.comparingDouble(i -> -urgency(i)));
        usualSends = nodes.values().stream().filter(n -> n.open && warmth(n) >= 1 && now >= n.bannedUntil)
                .mapToDouble(n -> n.sends.count(now) / n.size()).average().orElse(usualSends);
        for (Group g : groups.values()) {
            if (g.held.stream().anyMatch(q -> !q.isEmpty())) {
                wantPositions(g);
                release(g);
            }
        }
        at(null, now + ENTRY_OLD / 2, this::tend);
    }

    /** Worth of a queue's requests for their usual work. */
    private double urgency(int queue) {
        ClassSettings type = settings.classes().get(queue % usual.length);
        return type.worth() * (queue < usual.length ? 1 : type.lateShare()) / usual[queue % usual.length];
    }

    private void note(String text) {
        if (now - loggedAt > 200_000) {
            loggedAt = now;
            actions.log(text);
        }
    }
}
