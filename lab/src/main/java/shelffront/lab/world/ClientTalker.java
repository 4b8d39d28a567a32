package shelffront.lab.world;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import shelffront.lab.audit.Auditor.Asked;
import shelffront.lab.audit.Auditor.Rule;
import shelffront.lab.virtual.Talker;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/** A client's connection: one request at a time, whose answer it waits for until its time is up. */
final class ClientTalker extends Talker {

    private final Fleet fleet;
    private final Crowd crowd;
    private Asked current;
    private String value;
    private String code;
    private long retryAfter;
    private boolean welcomed;
    private boolean asksNothing;

    ClientTalker(Fleet fleet, Crowd crowd) {
        this.fleet = fleet;
        this.crowd = crowd;
        end = fleet.net().connect(crowd.machine(), crowd.gatewayAddress(), this);
        send(Message.startup("api", "ledger"));
    }

    boolean isFree() {
        return !isOver() && !isStalled() && current == null;
    }

    /** Sends a request; it may go right behind the startup. */
    void ask(Asked asked, byte[] statement, long giveUpAt) {
        current = asked;
        value = null;
        code = null;
        retryAfter = 0;
        send(Message.query(statement));
        fleet.clock().at(giveUpAt, () -> {
            if (current == asked) {
                current = null;
                fleet.unanswered(asked, "had no answer in time");
                reset();
                crowd.left(this);
            }
        });
    }

    /** Hangs up with a request open: nobody waits for it any more. */
    void hangUp() {
        if (current != null) {
            fleet.auditor().excuse(current);
            current = null;
        }
        close();
        crowd.left(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        try {
            for (Message m = next(bytes); m != null && !isOver(); m = next(bytes)) {
                take(m);
            }
        } catch (ProtocolException e) {
            fleet.auditor().violated(fleet.clock().now(), Rule.RIGHT_VALUE, "a client was sent what it can't read: "
                    + e.getMessage());
            reset();
            crowd.left(this);
        }
    }

    private static Message next(ByteBuffer bytes) throws ProtocolException {
        return Message.next(bytes, "RSKZTDCEIN", Message.GREATEST);
    }

    private void take(Message m) throws ProtocolException {
        switch (m.type()) {
            case 'D' -> value = m.onlyColumn();
            case 'E' -> {
                var fields = m.errorFields();
                code = fields.get('C');
                retryAfter = fields.containsKey('D') ? Long.parseLong(fields.get('D')) * 1000 : 0;
                if ("FATAL".equals(fields.get('S'))) {
                    over();
                }
            }
            case 'Z' -> {
                if (welcomed) {
                    over();
                }
                welcomed = true;
            }
            default -> { }
        }
    }

    private void over() {
        if (value == null && code == null) {
            return;
        }
        Asked done = current;
        current = null;
        if (done == null) {
            if (!asksNothing) {
                fleet.auditor().violated(fleet.clock().now(), Rule.ONE_ANSWER, "an answer to nothing: " + value + code);
            }
            return;
        }
        String got = value;
        String error = code;
        value = null;
        code = null;
        fleet.answered(done, got, error);
        crowd.answered(done, error, retryAfter);
    }

    /** What it waits for may be late by its own fault. */
    void excuseCurrent() {
        if (current != null) {
            fleet.auditor().excuse(current);
        }
    }

    /** What it is told from now on is no answer to anything. */
    void asksNothing() {
        asksNothing = true;
    }

    @Override
    protected void ended(boolean reset) {
        crowd.left(this);
        if (current != null) {
            Asked lost = current;
            current = null;
            crowd.lost(lost, reset);
        }
    }

    /** The statement of a request, as clients write it. */
    static byte[] statement(String id, String type, long waitMs, String key, int set, String session, boolean write) {
        String head = "/* id=" + id + ",c=" + type + ",d=" + waitMs + (key == null ? "" : ",k=" + key) + ",cluster="
                + set + " */ ";
        return (head + (write ? "INSERT INTO rows (handle, blob) VALUES ('" + session + "', 'x') RETURNING blob"
                : "SELECT blob FROM rows WHERE handle = '" + session + "'")).getBytes(ISO_8859_1);
    }
}
