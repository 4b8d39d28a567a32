package shelffront.lab.standin;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import shelffront.pg.Message;

/**
 * Stand-in boxes of one set on loopback: a primary and its replicas, which speak PostgreSQL's simple query protocol as
 * far as the gateway needs it. Each has so many cores and takes so long for a request; the rest waits. Every write that
 * took effect is counted by its key, and what a client was served can be held against it.
 */
public final class StandInSet implements AutoCloseable {

    private static final Pattern ID = Pattern.compile("id=([^, ]+)");
    private static final Pattern KEY = Pattern.compile("[, ]k=([^, ]+)");

    /** One box. */
    public final class Box {

        private final ServerSocket listener;
        private final Semaphore cores;
        private final boolean primary;
        private final String id;
        private volatile boolean silent;
        private final AtomicLong begun = new AtomicLong();
        private volatile long lastBegun;

        private Box(String id, boolean primary, int coreCount) throws IOException {
            this.id = id;
            this.primary = primary;
            cores = new Semaphore(coreCount, true);
            listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
            inBackground("box " + id, this::accept);
        }

        public String id() {
            return id;
        }

        public String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        public boolean isPrimary() {
            return primary;
        }

        /** Takes connections and says nothing more, to queries and probes alike. */
        public void silence(boolean on) {
            silent = on;
        }

        /** Queries that it has begun to work on. */
        public long begun() {
            return begun.get();
        }

        /** When it last began one, by {@link System#nanoTime}. */
        public long lastBegun() {
            return lastBegun;
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    socket.setTcpNoDelay(true);
                    inBackground("box " + id, () -> serve(socket));
                } catch (IOException e) {
                    return;                  // closed with the set
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                DataInputStream in = new DataInputStream(socket.getInputStream());
                OutputStream out = new BufferedOutputStream(socket.getOutputStream());
                in.skipNBytes(in.readInt() - 4L);
                out.write(Message.authenticationOk());
                out.write(Message.readyForQuery());
                out.flush();
                while (in.read() == 'Q') {
                    byte[] query = in.readNBytes(in.readInt() - 4);
                    String text = new String(query, 0, query.length - 1, ISO_8859_1);
                    if (!silent) {
                        answer(text, out);
                        out.flush();
                    }
                }
            } catch (IOException e) {
                // The gateway has ended the connection.
            } finally {
                sockets.remove(socket);
            }
        }

        private void answer(String text, OutputStream out) throws IOException {
            long position = System.currentTimeMillis() - (primary ? 0 : lagMs);
            if (text.startsWith("SHOW")) {
                row(out, String.format(Locale.ROOT, "x0=%d.%03d,x1=%d,queue=0", position / 1000,
                        position % 1000, primary ? 1 : 0), "SHOW");
                return;
            }
            boolean write = text.contains("INSERT");
            if (write && !primary) {
                out.write(Message.error(false, "25006", "not the primary", null));
                out.write(Message.readyForQuery());
                return;
            }
            work();
            Matcher id = ID.matcher(text);
            String value = id.find() ? id.group(1) : "";
            if (write) {
                Matcher key = KEY.matcher(text);
                effects.computeIfAbsent(key.find() ? key.group(1) : value, k -> new AtomicLong()).incrementAndGet();
                out.write(Message.parameterStatus("commit_clock", Long.toString(System.currentTimeMillis())));
            }
            out.write(Message.parameterStatus("server_role", primary ? "writer" : "reader"));
            row(out, value, write ? "INSERT 0 1" : "SELECT 1");
        }

        private void work() {
            cores.acquireUninterruptibly();
            try {
                begun.incrementAndGet();
                lastBegun = System.nanoTime();
                long until = lastBegun + workNanos;
                for (long left = workNanos; left > 0; left = until - System.nanoTime()) {
                    LockSupport.parkNanos(left);
                }
            } finally {
                cores.release();
            }
        }

        private void row(OutputStream out, String value, String tag) throws IOException {
            byte[] bytes = value.getBytes(ISO_8859_1);
            byte[] head = {0, 1, 0, 0, (byte) (bytes.length >> 8), (byte) bytes.length};
            byte[] body = new byte[head.length + bytes.length];
            System.arraycopy(head, 0, body, 0, head.length);
            System.arraycopy(bytes, 0, body, head.length, bytes.length);
            out.write(new Message('T', ("\0\1v\0" + "\0".repeat(18)).getBytes(ISO_8859_1)).bytes());
            out.write(new Message('D', body).bytes());
            out.write(new Message('C', (tag + "\0").getBytes(ISO_8859_1)).bytes());
            out.write(Message.readyForQuery());
        }
    }

    private final List<Box> boxes = new ArrayList<>();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicLong> effects = new ConcurrentHashMap<>();
    private final long workNanos;
    private final long lagMs;

    /** A primary and so many replicas, each with so many cores, which take {@code workMs} for a request. */
    public StandInSet(String name, int replicas, int cores, double workMs, long lagMs) throws IOException {
        workNanos = (long) (workMs * TimeUnit.MILLISECONDS.toNanos(1));
        this.lagMs = lagMs;
        for (int i = 0; i <= replicas; i++) {
            boxes.add(new Box(name + "-" + i, i == 0, cores));
        }
    }

    static void inBackground(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    public List<Box> boxes() {
        return boxes;
    }

    /** How often each key's write took effect. */
    public Map<String, AtomicLong> effects() {
        return effects;
    }

    /** Connections that are open to it. */
    public int connections() {
        return sockets.size();
    }

    @Override
    public void close() {
        for (Box box : boxes) {
            closeQuietly(box.listener);
        }
        sockets.forEach(StandInSet::closeQuietly);
    }

    private static void closeQuietly(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            // It is closed or breaks either way.
        }
    }
}
