package shelffront.lab.load;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import shelffront.pg.Message;

/**
 * Open-loop load on a gateway: requests are due at times set beforehand, whatever became of those before, and a
 * request's time counts from when it was due (Tene, "How not to measure latency"). So many connections carry it; where
 * all are busy a request waits, and that counts too.
 */
public final class Load {

    /** A class by its name, whether it writes, and the times after which an answer is late, and worth nothing. */
    public record Kind(String name, boolean write, int aimMs, int giveUpMs) { }

    /** What became of a load. */
    public static final class Result {

        public final LongAdder due = new LongAdder();
        public final LongAdder onTime = new LongAdder();
        public final LongAdder late = new LongAdder();
        public final LongAdder refused = new LongAdder();
        public final LongAdder failed = new LongAdder();
        /** No answer, or a connection that ended without one. */
        public final LongAdder unanswered = new LongAdder();
        /** Microseconds from due to the end of an answer that served. */
        public final Histogram served = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(1), 3);
        /** Microseconds from due to the write of its bytes: how far the load itself lagged behind. */
        public final Histogram lag = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(1), 3);

        /** Worth answered on time over worth asked for. */
        public double worthKept() {
            return due.sum() == 0 ? 1 : (double) onTime.sum() / due.sum();
        }
    }

    private final InetSocketAddress gateway;
    private final String tenant;
    private final String password;
    private final Kind kind;
    private final double perSecond;
    private final int connections;
    private final AtomicLong next = new AtomicLong();
    private final Result result = new Result();
    private volatile boolean stopped;

    /** Password null where none is asked for. */
    public Load(InetSocketAddress gateway, String tenant, String password, Kind kind, double perSecond,
            int connections) {
        this.gateway = gateway;
        this.tenant = tenant;
        this.password = password;
        this.kind = kind;
        this.perSecond = perSecond;
        this.connections = connections;
    }

    /** Runs for so long and ends by itself; what is due then has had its answer or its time. */
    public Result run(double seconds) throws InterruptedException {
        long count = (long) (seconds * perSecond);
        CountDownLatch connected = new CountDownLatch(connections);
        CompletableFuture<Long> begin = new CompletableFuture<>();
        Thread[] threads = new Thread[connections];
        for (int i = 0; i < connections; i++) {
            threads[i] = new Thread(null, () -> carry(connected, begin, count), "load " + tenant, 256 * 1024);
            threads[i].setDaemon(true);
            threads[i].start();
        }
        // What connecting costs is not what is measured here: the clock starts once all had their try.
        connected.await();
        long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
        begin.complete(start);
        long end = start + (long) (seconds * 1e9) + TimeUnit.MILLISECONDS.toNanos(kind.giveUpMs + 5_000L);
        for (Thread thread : threads) {
            thread.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
        stopped = true;
        // What no connection came to in its time has had no answer.
        result.due.add(Math.max(0, count - Math.min(count, next.get())));
        result.unanswered.add(Math.max(0, count - Math.min(count, next.get())));
        return result;
    }

    private void carry(CountDownLatch connected, CompletableFuture<Long> begin, long count) {
        Socket socket = null;
        DataInputStream in = null;
        try {
            socket = open();
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            begin(socket, in);
        } catch (IOException e) {
            closeQuietly(socket);
            socket = null;
        } finally {
            connected.countDown();
        }
        long start = begin.join();
        long index = next.getAndIncrement();
        while (index < count && !stopped) {
            long due = start + (long) (index / perSecond * 1e9);
            for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
                LockSupport.parkNanos(left);
            }
            result.due.increment();
            try {
                if (socket == null) {
                    socket = open();
                    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                    begin(socket, in);
                }
                ask(socket, in, index, due);
            } catch (IOException e) {
                result.unanswered.increment();
                closeQuietly(socket);
                socket = null;
            }
            index = next.getAndIncrement();
        }
        closeQuietly(socket);
    }

    private Socket open() throws IOException {
        Socket socket = new Socket();
        socket.connect(gateway, kind.giveUpMs);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(kind.giveUpMs + 1000);
        return socket;
    }

    private void begin(Socket socket, DataInputStream in) throws IOException {
        socket.getOutputStream().write(Message.startup(tenant, tenant));
        for (int type = in.read(); type != 'Z'; type = in.read()) {
            byte[] body = body(type, in);
            if (type == 'R' && body.length == 4 && body[3] == 3) {
                byte[] word = ((password == null ? "" : password) + "\0").getBytes(ISO_8859_1);
                socket.getOutputStream().write(new Message('p', word).bytes());
            } else if (type == 'E') {
                throw new IOException(new String(body, ISO_8859_1));
            }
        }
        body('Z', in);
    }

    private static byte[] body(int type, DataInputStream in) throws IOException {
        if (type < 0) {
            throw new IOException("the connection has ended");
        }
        return in.readNBytes(in.readInt() - 4);
    }

    private void ask(Socket socket, DataInputStream in, long index, long due) throws IOException {
        long now = System.nanoTime();
        long left = kind.giveUpMs - TimeUnit.NANOSECONDS.toMillis(now - due);
        if (left <= 0) {
            result.unanswered.increment();
            return;
        }
        String id = tenant + "-" + index;
        String statement = String.format(Locale.ROOT, kind.write
                ? "/* id=%s,c=%s,d=%d,k=%s,cluster=1 */ INSERT INTO rows VALUES ('h%d', 'x')"
                : "/* id=%s,c=%s,d=%d,k=%s,cluster=1 */ SELECT blob FROM rows WHERE handle = 'h%d'",
                id, kind.name, left, id, index % 997);
        result.lag.recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(now - due)));
        socket.getOutputStream().write(Message.query(statement.getBytes(ISO_8859_1)));
        String value = null;
        String code = null;
        for (int type = in.read(); type != 'Z'; type = in.read()) {
            byte[] body = body(type, in);
            if (type == 'D') {
                value = new String(body, 6, body.length - 6, ISO_8859_1);
            } else if (type == 'E') {
                String text = new String(body, ISO_8859_1);
                code = text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 7);
            }
        }
        body('Z', in);
        long took = System.nanoTime() - due;
        if (code != null) {
            (code.equals("53300") || code.equals("57P03") ? result.refused : result.failed).increment();
        } else if (!id.equals(value)) {
            throw new IOException("answered with another's value: " + value);
        } else {
            result.served.recordValue(TimeUnit.NANOSECONDS.toMicros(took));
            (took <= TimeUnit.MILLISECONDS.toNanos(kind.aimMs) ? result.onTime : result.late).increment();
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed or breaks either way.
        }
    }
}
