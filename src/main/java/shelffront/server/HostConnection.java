package shelffront.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.HashMap;
import java.util.Map;
import shelffront.Router.Status;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.Network;
import shelffront.net.TurnLoop.Deadline;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/** A connection to a database host. It carries a single errand at a time and is closed to abandon one. */
final class HostConnection extends Connection {

    private static final String USER = "api";
    private static final String DATABASE = "ledger";

    final Host host;
    private final Servers servers;
    private final Deadline openBy;
    private Deadline idleUntil;
    private boolean ready;
    private Errand errand;
    private boolean requestWritten;
    private String errorCode;
    private int rows;
    private boolean complete;
    private ByteArrayOutputStream answer = new ByteArrayOutputStream();
    private int held;                 // bytes of the answer that the memory budget counts
    private final Map<String, String> told = new HashMap<>();

    HostConnection(Network network, AsynchronousSocketChannel channel, Host host, Servers servers, long openBy) {
        super(network, "host", channel, Message.GREATEST);
        this.host = host;
        this.servers = servers;
        this.openBy = network.loop().at(openBy, () -> close(CloseReason.CONNECT_TIMEOUT));
        write(Message.startup(USER, DATABASE));
        connect(host.address);
    }

    boolean ready() {
        return ready;
    }

    void begin(Errand next, byte[] query) {
        stopIdling();
        errand = next;
        requestWritten = false;
        errorCode = null;
        rows = 0;
        complete = false;
        told.clear();
        write(query);
    }

    void idleUntil(long time) {
        idleUntil = network.loop().at(time, () -> close(CloseReason.IDLE));
    }

    private void stopIdling() {
        if (idleUntil != null) {
            idleUntil.cancel();
            idleUntil = null;
        }
    }

    @Override
    protected void written() {
        requestWritten = errand != null;
    }

    /** Ends the errand's stay here by closing: a host connection never carries another after an open one. */
    void abandon(CloseReason reason) {
        errand = null;
        close(reason);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        try {
            for (Message m = Message.next(bytes); m != null && !isClosed(); m = Message.next(bytes)) {
                take(m);
            }
        } catch (ProtocolException e) {
            close(CloseReason.BAD_ANSWER);
        }
    }

    private void take(Message m) {
        switch (m.type()) {
            case 'S' -> {
                String name = m.text(0);
                told.put(name, m.text(Math.min(m.body().length, name.length() + 1)));
            }
            case 'T', 'D', 'C' -> {
                rows += m.type() == 'D' ? 1 : 0;
                complete |= m.type() == 'C';
                byte[] bytes = m.bytes();
                if (errand == null || answer.size() + bytes.length > Message.GREATEST) {
                    close(CloseReason.BAD_ANSWER);
                    return;
                }
                if (!network.budget().take(bytes.length)) {
                    close(CloseReason.NO_MEMORY);
                    return;
                }
                held += bytes.length;
                answer.writeBytes(bytes);
                if (m.type() == 'D' && errand.attempt == null) {
                    told.put("report", m.onlyColumn());
                }
            }
            case 'E' -> {
                errorCode = m.errorField('C');
                if ("FATAL".equals(m.errorField('S'))) {
                    close(CloseReason.REFUSED_BY_HOST);
                }
            }
            case 'Z' -> {
                if (!ready) {
                    ready = true;
                    openBy.cancel();
                    servers.opened(this);
                } else if (errand != null) {
                    Errand done = errand;
                    errand = null;
                    Reply reply = reply();
                    dropAnswer();
                    servers.freed(this);     // before the outcome, whose next send may want this connection
                    servers.finish(done, reply);
                }
            }
            default -> { }      // authentication, key data and notices ask for nothing
        }
    }

    private Reply reply() {
        Status status;
        if (errorCode != null) {
            status = switch (errorCode) {
                case "25006", "72000" -> Status.MISS;
                case "53300", "57P03" -> Status.FULL;
                default -> Status.ERROR;
            };
        } else {
            status = complete && rows == 1 ? Status.OK : Status.ERROR;
        }
        String report = told.get("report") != null ? told.get("report") : told.get("usage");
        return new Reply(status, Report.role(told.get("server_role")), Report.position(told.get("commit_clock")),
                Report.read(report), status == Status.OK ? answer.toByteArray() : null);
    }

    /**
     * A connection that breaks before the request's last byte was handed to the socket proves that it never ran;
     * after that it may have, unless the host had said how it ended.
     */
    @Override
    protected void ended(CloseReason reason) {
        openBy.cancel();
        stopIdling();
        Errand broken = errand;
        errand = null;
        boolean said = errorCode != null || complete && rows == 1;
        Reply reply = said ? reply() : Reply.of(requestWritten ? Status.RESET : Status.CONNECT_FAILED);
        dropAnswer();
        servers.ended(this);
        if (broken != null) {
            servers.finish(broken, reply);
        }
    }

    /** Host connections are many and kept for long: none keeps the room that its greatest answer took. */
    private void dropAnswer() {
        network.budget().giveBack(held);
        held = 0;
        answer = new ByteArrayOutputStream();
    }

    @Override
    protected String describe() {
        return host.id;
    }
}
