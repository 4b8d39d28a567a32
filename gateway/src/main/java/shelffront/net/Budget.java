package shelffront.net;

/** Bytes that all connections and requests together may hold; what is taken must be given back. */
public final class Budget {

    private long left;

    public Budget(long bytes) {
        left = bytes;
    }

    public boolean take(long bytes) {
        if (bytes > left) {
            return false;
        }
        left -= bytes;
        return true;
    }

    public void giveBack(long bytes) {
        left += bytes;
    }
}
