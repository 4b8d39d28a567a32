package shelffront.net;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;

/** What all connections share: the turn loop, the channel group, the memory budget, counters and the log. */
public record Network(TurnLoop loop, AsynchronousChannelGroup group, Budget budget, Counters counters,
        PrintStream log) {

    /** Runs what it is given where it is given, which saves a change of threads for each result. */
    private static final class InPlace extends AbstractExecutorService {

        private volatile boolean stopped;

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public void shutdown() {
            stopped = true;
        }

        @Override
        public List<Runnable> shutdownNow() {
            stopped = true;
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return stopped;
        }

        @Override
        public boolean isTerminated() {
            return stopped;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return stopped;
        }
    }

    /**
     * The group waits for sockets on one thread of its own and runs the completion handlers there; they do nothing but
     * post to the loop. With a pool that isn't fixed a write goes to the socket at once, on the turn thread, instead of
     * waiting on that thread for a socket that is ready nearly always.
     */
    public static Network open(TurnLoop loop, Budget budget, Counters counters, PrintStream log) throws IOException {
        return new Network(loop, AsynchronousChannelGroup.withThreadPool(new InPlace()), budget, counters, log);
    }

    public AsynchronousSocketChannel newChannel() throws IOException {
        return AsynchronousSocketChannel.open(group);
    }
}
