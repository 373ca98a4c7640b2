package slateseam.tier.members;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import slateseam.tier.members.Message.Introduction;
import slateseam.tier.members.Message.PartDigest;
import slateseam.tier.members.Message.Record;

/**
 * Anti-entropy: compares views by digests of their parts, so that updates that were lost are found and only the parts
 * that differ are sent.
 */
final class Parts {
    /** Limit on the datagrams that answer one comparison. */
    private static final int MAX_ANSWER_DATAGRAMS = 4;

    private final long self;
    private final Roster roster;
    private final RandomGenerator random;

    Parts(long self, Roster roster, RandomGenerator random) {
        this.self = self;
        this.roster = roster;
        this.random = random;
    }

    /** Returns the digests of all parts of this router's view. */
    List<Record> digests() {
        List<Record> digests = new ArrayList<>();
        for (int part = 0; part < Roster.PARTS; part++) {
            digests.add(new PartDigest(part, roster.digest(part)));
        }
        return digests;
    }

    /** Returns whether a record is the digest of a part that differs from the part here. */
    private boolean differs(Record record) {
        return record instanceof PartDigest theirs
                && theirs.part() < Roster.PARTS
                && theirs.digest() != roster.digest(theirs.part());
    }

    /** Returns whether any part of another router's view differs from the part here. */
    boolean hasDifferences(Message theirs) {
        return theirs.records().stream().anyMatch(this::differs);
    }

    /**
     * Returns this router's records of the parts that differ, packed into a limited number of datagrams. The entry of
     * this router comes first if its part differs.
     *
     * @param own the introduction of this router
     */
    List<List<Record>> answers(Message theirs, Introduction own) {
        List<Member> known = new ArrayList<>();
        boolean includeOwn = false;
        List<List<Member>> members = hasDifferences(theirs) ? byPart() : List.of();
        for (Record record : theirs.records()) {
            if (differs(record)) {
                int part = ((PartDigest) record).part();
                includeOwn |= Roster.part(self) == part;
                known.addAll(members.get(part));
            }
        }
        // Starts at a random member, so that repeated answers cover all members although each answer is limited.
        int at = known.isEmpty() ? 0 : random.nextInt(known.size());
        Collections.rotate(known, -at);
        Stream<Record> records = known.stream().map(roster::record);
        return pack(includeOwn ? Stream.concat(Stream.of(own), records) : records);
    }

    /** Returns the members of each part. */
    private List<List<Member>> byPart() {
        List<List<Member>> parts = new ArrayList<>();
        for (int part = 0; part < Roster.PARTS; part++) {
            parts.add(new ArrayList<>());
        }
        for (Member member : roster.all()) {
            parts.get(Roster.part(member.id)).add(member);
        }
        return parts;
    }

    /** Distributes records over datagrams in order and drops the records beyond the limit. */
    private static List<List<Record>> pack(Stream<Record> all) {
        List<List<Record>> datagrams = new ArrayList<>();
        int room = 0;
        for (Record record : (Iterable<Record>) all::iterator) {
            if (record.bytes() > room) {
                if (datagrams.size() == MAX_ANSWER_DATAGRAMS) {
                    return datagrams;
                }
                datagrams.add(new ArrayList<>());
                room = Message.MAX_BYTES - Message.HEADER_BYTES;
            }
            datagrams.get(datagrams.size() - 1).add(record);
            room -= record.bytes();
        }
        return datagrams;
    }
}
