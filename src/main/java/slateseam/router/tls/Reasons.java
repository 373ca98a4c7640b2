package slateseam.router.tls;

import java.io.IOException;
import java.security.cert.CertPathBuilderException;
import java.security.cert.CertPathValidatorException;
import java.security.cert.CertPathValidatorException.BasicReason;
import java.security.cert.CertificateException;
import java.security.cert.CertificateExpiredException;
import java.security.cert.CertificateNotYetValidException;

/** Tells why the other side was refused, in words for the operators' log. */
final class Reasons {
    private static final int MOST_CAUSES = 16;

    private Reasons() {}

    static String of(IOException refused) {
        if (refused instanceof RefusedException) {
            return refused.getMessage();
        }
        String certificate = null;
        Throwable cause = refused;
        for (int i = 0; i < MOST_CAUSES && cause != null; i++, cause = cause.getCause()) {
            if (cause instanceof CertificateExpiredException || isFor(cause, BasicReason.EXPIRED)) {
                return "its certificate, or one above it, has expired";
            }
            if (cause instanceof CertificateNotYetValidException || isFor(cause, BasicReason.NOT_YET_VALID)) {
                return "its certificate, or one above it, is not valid yet";
            }
            if (cause instanceof CertPathBuilderException || isFor(cause, BasicReason.INVALID_SIGNATURE)) {
                return "its certificate comes from an unknown authority";
            }
            if (cause instanceof CertificateException) {
                // What has no deeper cause comes from the check of names.
                certificate = cause.getCause() == null
                        ? "its certificate is of another name: " + cause.getMessage()
                        : "its certificate was refused: " + cause.getMessage();
            }
        }
        return certificate != null ? certificate : String.valueOf(refused.getMessage());
    }

    private static boolean isFor(Throwable cause, BasicReason reason) {
        return cause instanceof CertPathValidatorException e && e.getReason() == reason;
    }
}
