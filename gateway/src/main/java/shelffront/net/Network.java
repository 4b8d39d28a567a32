package shelffront.net;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;

/** What all connections share: the turn loop, the channel group, the memory budget, counters and the log. */
public record Network(TurnLoop loop, AsynchronousChannelGroup group, Budget budget, Counters counters,
        PrintStream log) {

    /** One thread runs all completion handlers; they do nothing but post to the loop. */
    public static Network open(TurnLoop loop, Budget budget, Counters counters, PrintStream log) throws IOException {
        return new Network(loop, AsynchronousChannelGroup.withFixedThreadPool(1, task -> {
            Thread thread = new Thread(task, "completions");
            thread.setDaemon(true);
            return thread;
        }), budget, counters, log);
    }

    public AsynchronousSocketChannel newChannel() throws IOException {
        return AsynchronousSocketChannel.open(group);
    }
}
