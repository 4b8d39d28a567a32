package shelffront.adapter;

/** Input that is not in the form of the wire; the message is one plain line. */
final class MalformedInputException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}
