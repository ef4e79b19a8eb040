package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.StateMachine;

/**
 * The configuration as the replicated log drives it: objects, the number of the ticket that set
 * each, and the first answers to tickets.
 *
 * <p>A ticket is accepted if its number is above that of each object that it touches, and then
 * applied whole. Removed objects keep their number. Deterministic; not safe for use by several
 * threads.
 */
public final class ConfigState implements StateMachine {
    /** Most accepted tickets whose answers are remembered: nine days at 7,100 changes a day. */
    public static final int MAX_ACCEPTED = 65_536;

    /** Most refusals that are remembered. */
    public static final int MAX_REFUSED = 1_024;

    /** Most removed objects whose numbers are remembered. */
    public static final int MAX_REMOVED = 65_536;

    private final int mMaxAccepted;
    private final int mMaxRemoved;
    private ObjectTable mTable;
    private AnswerRecord mAnswers;
    private ConfigDocument mDocument = ConfigDocument.NONE;
    private long mVersion;
    private ConfigView mView = ConfigView.empty();

    private ConfigState(int maxAccepted, int maxRemoved) {
        checkArgument(maxRemoved > 0, "maxRemoved %s is not positive", maxRemoved);
        mMaxAccepted = maxAccepted;
        mMaxRemoved = maxRemoved;
        clear();
    }

    /** Returns the empty configuration of version 0. */
    public static ConfigState create() {
        return create(MAX_ACCEPTED, MAX_REMOVED);
    }

    /** Returns the empty configuration with other bounds, which must be alike on all members. */
    static ConfigState create(int maxAccepted, int maxRemoved) {
        return new ConfigState(maxAccepted, maxRemoved);
    }

    private void clear() {
        mTable = new ObjectTable(mMaxRemoved);
        mAnswers = AnswerRecord.create(mMaxAccepted, MAX_REFUSED);
        mDocument = ConfigDocument.NONE;
        mVersion = 0;
        mView = ConfigView.empty();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            return apply(ConfigCommand.CODEC.decode(command)).encode();
        } catch (ProxyException e) {
            return Verdict.refused(Verdict.Outcome.INVALID, 0, e.getMessage()).encode();
        }
    }

    private Verdict apply(ConfigCommand command) {
        if (command instanceof ConfigCommand.ReplaceAll replace) {
            return replaceAll(replace);
        }
        return applyTicket(((ConfigCommand.ApplyTicket) command).ticket());
    }

    /** A number that is not above the last one changes nothing and counts as accepted. */
    private Verdict replaceAll(ConfigCommand.ReplaceAll command) {
        Ticket ticket = command.ticket();
        if (ticket.number() <= mDocument.number()) {
            return Verdict.accepted(ticket.number(), mVersion);
        }
        try {
            TicketCheck.checkNames(ticket);
            ReferenceCheck.check(new ObjectTable(mMaxRemoved), ticket);
        } catch (ProxyException e) {
            return Verdict.refused(Verdict.Outcome.INVALID, ticket.number(), e.getMessage());
        }
        mVersion++;
        put(replacements(ticket), ticket.number());
        mDocument = new ConfigDocument(ticket.number(), command.document());
        return Verdict.accepted(ticket.number(), mVersion);
    }

    /** Returns the objects that the ticket changes, and the removal of those that it leaves out. */
    private Stream<ConfigChange> replacements(Ticket ticket) {
        Set<ObjectName> kept =
                ticket.changes().map(ConfigChange::objectName).collect(Collectors.toSet());
        Stream<ConfigChange> removed =
                mTable.all().stream()
                        .map(ConfigChange::objectName)
                        .filter(name -> !kept.contains(name))
                        .map(Removed::new);
        Stream<ConfigChange> changed = ticket.changes().filter(change -> !isInForce(change));
        return Stream.concat(changed, removed).toList().stream();
    }

    private boolean isInForce(ConfigChange change) {
        return mTable.stamp(change.objectName())
                .map(ObjectTable.Stamp::change)
                .filter(change::equals)
                .isPresent();
    }

    private Verdict applyTicket(Ticket ticket) {
        try {
            TicketCheck.check(ticket);
        } catch (ProxyException e) {
            return Verdict.refused(Verdict.Outcome.INVALID, ticket.number(), e.getMessage());
        }
        ContentDigest digest = ContentDigest.of(ticket);
        return mAnswers.firstAnswer(ticket.number(), digest)
                .or(() -> conflict(ticket))
                .or(() -> stale(ticket))
                .or(() -> invalid(ticket, digest))
                .orElseGet(() -> accept(ticket, digest));
    }

    private Optional<Verdict> conflict(Ticket ticket) {
        return mAnswers.accepted(ticket.number())
                .map(
                        accepted ->
                                Verdict.refused(
                                        Verdict.Outcome.CONFLICT,
                                        ticket.number(),
                                        "ticket "
                                                + ticket.number()
                                                + " was accepted with other content as version "
                                                + accepted.version()));
    }

    private Optional<Verdict> stale(Ticket ticket) {
        long number = ticket.number();
        if (number <= mAnswers.floor()) {
            String detail = "numbers up to " + mAnswers.floor() + " are no longer accepted";
            return Optional.of(Verdict.refused(Verdict.Outcome.STALE, number, detail));
        }
        return ticket.changes()
                .map(change -> mTable.stamp(change.objectName()))
                .flatMap(Optional::stream)
                .filter(stamp -> stamp.ticket() >= number)
                .findFirst()
                .map(stamp -> stamp.name() + " was set by ticket " + stamp.ticket())
                .map(detail -> Verdict.refused(Verdict.Outcome.STALE, number, detail));
    }

    private Optional<Verdict> invalid(Ticket ticket, ContentDigest digest) {
        try {
            ReferenceCheck.check(mTable, ticket);
            return Optional.empty();
        } catch (ProxyException e) {
            mAnswers.addRefused(ticket.number(), digest, e.getMessage());
            return Optional.of(
                    Verdict.refused(Verdict.Outcome.INVALID, ticket.number(), e.getMessage()));
        }
    }

    private Verdict accept(Ticket ticket, ContentDigest digest) {
        mVersion++;
        put(ticket.changes(), ticket.number());
        mAnswers.addAccepted(ticket.number(), digest, mVersion);
        return Verdict.accepted(ticket.number(), mVersion);
    }

    /** Sets objects as of the present version. */
    private void put(Stream<ConfigChange> changes, long number) {
        List<ObjectTable.Stamp> stamps =
                changes.map(change -> new ObjectTable.Stamp(change, number, mVersion)).toList();
        stamps.forEach(mTable::put);
        stamps.forEach(mTable::indexDigest);
        mAnswers.raiseFloor(mTable.trimRemoved());
    }

    /** Returns the document that set the whole configuration; empty before the first one. */
    public Optional<ConfigDocument> document() {
        return Optional.of(mDocument).filter(document -> document.number() > 0);
    }

    /** Returns the version: the number of tickets accepted so far. */
    public long version() {
        return mVersion;
    }

    /** Returns the number up to which tickets are refused unless their answer is remembered. */
    public long floor() {
        return mAnswers.floor();
    }

    /** Returns the present configuration, ready for look-ups. */
    public ConfigView view() {
        if (mView.version() != mVersion) {
            ChangeSet set = changesSince(mView.version());
            ConfigView base = set.from() == 0 ? ConfigView.empty() : mView;
            mView = base.with(set.to(), set.changes());
        }
        return mView;
    }

    /** Returns what leads from {@code version} or any later one to the present version. */
    ChangeSet changesSince(long version) {
        return version > 0 && version >= mTable.deltaFloor()
                ? new ChangeSet(version, mVersion, mTable.changedSince(version))
                : new ChangeSet(0, mVersion, mTable.all());
    }

    /**
     * Changes that lead to a version.
     *
     * @param from version that they start from; 0 for the empty configuration
     */
    record ChangeSet(long from, long to, List<ConfigChange> changes) {}

    /** Returns all objects that exist, by name. */
    public Stream<ConfigObject> objects() {
        return mTable.all().stream().map(ConfigObject.class::cast);
    }

    /** Returns the number of the ticket that set an object or removed it, or 0. */
    public long ticketOf(ObjectName name) {
        return mTable.stamp(name).map(ObjectTable.Stamp::ticket).orElse(0L);
    }

    /** Returns the answer to the accepted ticket of this number, if it is remembered. */
    public Optional<Verdict> accepted(long number) {
        return mAnswers.accepted(number).map(a -> Verdict.accepted(number, a.version()));
    }

    /** Returns the answers to all accepted tickets that are remembered, by number. */
    public Stream<Verdict> accepted() {
        return mAnswers.accepted().map(a -> Verdict.accepted(a.getKey(), a.getValue().version()));
    }

    /** Returns the names that the accepted ticket of this number set and no later one has. */
    public Stream<ObjectName> setBy(long number) {
        return mTable.stamps()
                .filter(stamp -> stamp.ticket() == number)
                .map(ObjectTable.Stamp::name);
    }

    @Override
    public byte[] snapshot() {
        List<AnswerRecord.Accepted> accepted = mAnswers.accepted().map(e -> e.getValue()).toList();
        return ConfigImage.CODEC.encode(
                new ConfigImage.Whole(
                        mVersion,
                        mAnswers.floor(),
                        mTable.deltaFloor(),
                        mTable.stamps().map(ConfigState::image).toList(),
                        mAnswers.accepted().mapToLong(e -> e.getKey()).toArray(),
                        longs(accepted, a -> a.digest().high()),
                        longs(accepted, a -> a.digest().low()),
                        longs(accepted, AnswerRecord.Accepted::version),
                        refusals(),
                        mDocument));
    }

    private static long[] longs(
            List<AnswerRecord.Accepted> accepted, ToLongFunction<AnswerRecord.Accepted> field) {
        return accepted.stream().mapToLong(field).toArray();
    }

    private static ConfigImage.StampImage image(ObjectTable.Stamp stamp) {
        return new ConfigImage.StampImage(
                ConfigCodec.encode(stamp.change()), stamp.ticket(), stamp.version());
    }

    private List<ConfigImage.RefusalImage> refusals() {
        return mAnswers.refused()
                .map(
                        e ->
                                new ConfigImage.RefusalImage(
                                        e.getKey().number(),
                                        e.getKey().digest().high(),
                                        e.getKey().digest().low(),
                                        e.getValue()))
                .toList();
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            var image = (ConfigImage.Whole) ConfigImage.CODEC.decode(snapshot);
            clear();
            mVersion = image.version();
            mDocument = image.document();
            mTable.setDeltaFloor(image.deltaFloor());
            for (ConfigImage.StampImage stamp : image.stamps()) {
                restore(stamp);
            }
            restoreAnswers(image);
        } catch (ProxyException e) {
            throw new IllegalArgumentException("snapshot of the configuration is damaged", e);
        }
    }

    private void restore(ConfigImage.StampImage image) throws ProxyException {
        ConfigChange change = ConfigCodec.decode(image.change());
        var stamp = new ObjectTable.Stamp(change, image.ticket(), image.version());
        mTable.put(stamp);
        mTable.indexDigest(stamp);
    }

    private void restoreAnswers(ConfigImage.Whole image) {
        for (int i = 0; i < image.numbers().length; i++) {
            mAnswers.addAccepted(
                    image.numbers()[i],
                    new ContentDigest(image.digestsHigh()[i], image.digestsLow()[i]),
                    image.versions()[i]);
        }
        image.refusals()
                .forEach(
                        r ->
                                mAnswers.addRefused(
                                        r.number(),
                                        new ContentDigest(r.high(), r.low()),
                                        r.detail()));
        mAnswers.raiseFloor(image.floor());
    }
}
