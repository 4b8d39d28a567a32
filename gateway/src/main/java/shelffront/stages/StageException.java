package shelffront.stages;

/**
 * What can go wrong with stages. Each kind has a code that stays, says what happened, and what an operator can do; all
 * are listed in {@code docs/operators/fleet-changes.md}.
 */
public abstract sealed class StageException extends Exception {

    private static final long serialVersionUID = 1L;

    private final String code;
    private final String advice;

    private StageException(String code, String what, String advice, Throwable cause) {
        super(what, cause);
        this.code = code;
        this.advice = advice;
    }

    /** Stable, for programs and pages. */
    public final String code() {
        return code;
    }

    /** What an operator can do about it. */
    public final String advice() {
        return advice;
    }

    /** The engine gave no answer that says anything; what became of a write is not known. */
    public abstract static sealed class EngineException extends StageException {

        private static final long serialVersionUID = 1L;

        private EngineException(String code, String what, String advice, Throwable cause) {
            super(code, what, advice, cause);
        }
    }

    /** No answer came in time, or no connection. */
    public static final class EngineUnreachable extends EngineException {

        private static final long serialVersionUID = 1L;

        EngineUnreachable(String where, Throwable cause) {
            super("engine-unreachable", "the engine at " + where + " does not answer: " + cause.getMessage(),
                    "Look at the engine's agent and the way to it. Gateways fall back to the safe stage when their"
                            + " leases lapse and come back by themselves.",
                    cause);
        }
    }

    /** It answered that it can't: it has no leader, or is overloaded. */
    public static final class EngineRefused extends EngineException {

        private static final long serialVersionUID = 1L;

        EngineRefused(String where, int status) {
            super("engine-refused", "the engine at " + where + " answered " + status,
                    "Look at the engine's servers: without a leader it takes no write. Nothing is lost; moves wait.",
                    null);
        }
    }

    /** Its answer, or what a key holds, can't be read. */
    public static final class EngineGarbled extends EngineException {

        private static final long serialVersionUID = 1L;

        EngineGarbled(String what, Throwable cause) {
            super("engine-garbled", what, "See who else writes under this fleet's prefix, and whether all gateways are"
                    + " of a build that knows the form. Put back what the key held; never take it away while gateways"
                    + " run.",
                    cause);
        }
    }

    /** There is no subject of this name. */
    public static final class UnknownSubject extends StageException {

        private static final long serialVersionUID = 1L;

        UnknownSubject(String subject) {
            super("unknown-subject", "this gateway has no subject " + subject,
                    "Name one of those under /fleet/subjects in its settings.", null);
        }
    }

    /** The subject has no stage of this name. */
    public static final class UnknownStage extends StageException {

        private static final long serialVersionUID = 1L;

        UnknownStage(String subject, String stage) {
            super("unknown-stage", subject + " has no stage " + stage,
                    "Name one of the subject's stages; give all gateways the same list, in the same order.", null);
        }
    }

    /** Somebody else changed the subject in the same moment. */
    public static final class Contended extends StageException {

        private static final long serialVersionUID = 1L;

        Contended(String subject) {
            super("contended", subject + " was changed by another in the same moment",
                    "Look where it stands now and ask again if that is still wanted.", null);
        }
    }
}
