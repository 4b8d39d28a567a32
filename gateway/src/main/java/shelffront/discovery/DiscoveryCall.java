package shelffront.discovery;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.config.Json;
import shelffront.config.MalformedInputException;
import shelffront.config.MemberList;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.Network;
import shelffront.net.TurnLoop.Deadline;

/** One call of discovery on a connection of its own. */
final class DiscoveryCall extends Connection {

    private final Discovery discovery;
    private final boolean standing;
    private final long mostSilence;
    private final ChunkedLines answer = new ChunkedLines(this::line);
    private final StringBuilder body = new StringBuilder();
    private Deadline silence;
    private boolean listCame;

    DiscoveryCall(Network network, AsynchronousSocketChannel channel, InetSocketAddress address, String request,
            boolean standing, long mostSilence, Discovery discovery) {
        super(network, "discovery", channel, 64 * 1024);
        this.discovery = discovery;
        this.standing = standing;
        this.mostSilence = mostSilence;
        listen();
        write(request.getBytes(US_ASCII));
        connect(address);
    }

    /** Guards against a watch whose other end vanished: nothing says so but its silence. */
    private void listen() {
        if (silence != null) {
            silence.cancel();
        }
        silence = network.loop().at(now() + mostSilence, () -> close(CloseReason.SILENT));
    }

    @Override
    protected void received(ByteBuffer bytes) {
        listen();
        try {
            answer.take(bytes);
        } catch (MalformedInputException e) {
            network.log().println("discovery: " + e.getMessage());
            close(CloseReason.BAD_ANSWER);
            return;
        }
        if (!isClosed() && answer.ended()) {
            finish(CloseReason.ANSWERED);
        }
    }

    private void line(String text) {
        if (answer.status() != 200 || isClosed()) {
            return;
        }
        if (!standing) {
            body.append(text).append('\n');
        } else if (!text.isBlank()) {
            list(text);
        }
    }

    private void list(String text) {
        MemberList list;
        try {
            list = MemberList.read(Json.object(text));
        } catch (MalformedInputException e) {
            network.log().println("discovery: " + e.getMessage());
            close(CloseReason.BAD_ANSWER);
            return;
        }
        listCame = true;
        discovery.heard(list);
    }

    private void finish(CloseReason reason) {
        if (!standing && answer.status() == 200) {
            list(body.toString());
        }
        close(reason);
    }

    @Override
    protected void ended(CloseReason reason) {
        silence.cancel();
        discovery.ended(this, standing, listCame);
    }

    @Override
    protected String describe() {
        return (standing ? "watch" : "fetch") + " status=" + answer.status();
    }
}
