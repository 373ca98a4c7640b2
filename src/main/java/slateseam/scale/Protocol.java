package slateseam.scale;

import java.util.Locale;
import slateseam.tier.members.Members;
import slateseam.tier.policy.Policy;

/** The protocols that routers speak by datagrams, told apart by the first byte. */
enum Protocol {
    MEMBERS,
    POLICY,
    RING;

    static Protocol of(byte first) {
        if (first == Members.firstByte()) {
            return MEMBERS;
        }
        for (byte one : Policy.firstBytes()) {
            if (first == one) {
                return POLICY;
            }
        }
        return RING;
    }

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
