package shelffront.net;

/**
 * Something counted that those who share it may hold only so much of: bytes of buffers, sockets. What is taken must be
 * given back. A budget may be a part of a greater one, and then counts in both.
 */
public final class Budget {

    private final Budget whole;
    private long most;
    private long held;

    public Budget(long most) {
        this(null, most);
    }

    /** A part of another; what is taken here is taken there too. */
    public Budget(Budget whole, long most) {
        this.whole = whole;
        this.most = most;
    }

    /** Changes the bound; what is held beyond it is not taken away, but nothing more is given until it is under it. */
    public void bound(long newMost) {
        most = newMost;
    }

    public boolean take(long amount) {
        if (amount > most - held || whole != null && !whole.take(amount)) {
            return false;
        }
        held += amount;
        return true;
    }

    public void giveBack(long amount) {
        held -= amount;
        if (whole != null) {
            whole.giveBack(amount);
        }
    }

    public long held() {
        return held;
    }
}
