@0xb1c3f0a9d2e47865;

struct ItemVersion {
  name @0 :Text;
  version @1 :UInt64;
  digest @2 :Text;
}

struct Call {
  requestId @0 :Text;
  service @1 :Text;
  callClass @2 :Text;
  caller @3 :Text;
  rank @4 :UInt32;
  depth @5 :UInt8;
  remainingS @6 :Float64;
  retriesLeft @7 :UInt16;
  idempotencyKey @8 :Text;
  contentType @9 :Text;
  body @10 :Data;
}

struct Outcome {
  union {
    answered :group {
      status @0 :UInt16;
      contentType @1 :Text;
      body @2 :Data;
    }
    notRun :group {
      reason @3 :Text;
      retryAfterS @4 :Float64;
    }
    unknown :group {
      reason @5 :Text;
    }
  }
  retriesLeft @6 :UInt16;
}

struct Load {
  inFlight @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  newDurationUs @3 :UInt32;
  newWaitUs @4 :UInt32;
  nestedDurationUs @5 :UInt32;
  nestedWaitUs @6 :UInt32;
}

struct PublishedItem {
  key @0 :Text;
  revision @1 :UInt64;
  isRemoved @2 :Bool;
  compressedBody @3 :Data;
}

struct Message {
  union {
    hello :group {
      vm @0 :Text;
      incarnation @1 :Text;
      failureDomain @2 :Text;
      service @3 :Text;
    }
    heartbeat :group {
      storeDigest @4 :UInt64;
      asOfMs @5 :UInt64;
      threshold @6 :UInt32;
      draining @7 :Bool;
    }
    offer :group {
      versions @8 :List(ItemVersion);
      complete @9 :Bool;
      # Set in the reply to a complete offer.
      isAnswer @21 :Bool;
    }
    # Requests copies of the named items.
    ask :group {
      names @10 :List(Text);
    }
    itemCopy :group {
      version @11 :ItemVersion;
      compressedBody @12 :Data;
      itemAsOfMs @20 :UInt64;
    }
    callRequest :group {
      callId @13 :UInt64;
      call @14 :Call;
    }
    callReply :group {
      replyTo @15 :UInt64;
      outcome @16 :Outcome;
      replierThreshold @17 :UInt32;
    }
    cancel :group {
      cancelledId @18 :UInt64;
    }
    goodbye @19 :Void;
    # Packed binary records; forward_records.py defines their layout.
    forwardRequest @22 :Data;
    forwardReply @23 :Data;
    ping @24 :Void;
    pong @25 :Load;
    followStore :group {
      knownRevision @26 :UInt64;
      knownEra @42 :UInt64;
    }
    unfollowStore @27 :Void;
    storeReport :group {
      items @28 :List(PublishedItem);
      # Revision that the receiver must have; 0 with a snapshot.
      after @29 :UInt64;
      revision @30 :UInt64;
      isSnapshot @31 :Bool;
      isDifference @34 :Bool;
      isCurrent @32 :Bool;
      # Not used; always the largest value, which earlier versions read as "no outage yet".
      recoveredAgoMs @33 :UInt32;
      # The largest value stands for "no successful read yet".
      readAgeMs @35 :UInt32 = 0xffffffff;
      era @43 :UInt64;
    }
    connectionClosing @36 :Void;
    # Sequence number of the probe.
    freshnessProbe @37 :UInt64;
    freshnessReply :group {
      replySequence @38 :UInt64;
      replyEra @39 :UInt64;
      replyRevision @40 :UInt64;
      # The largest value stands for "never read".
      ageMs @41 :UInt32;
    }
    tokenRequest :group {
      account @44 :Text;
      wanted @45 :UInt32;
      spare @46 :UInt32;
      returned @47 :UInt32;
    }
    tokenGrant :group {
      grantedAccount @48 :Text;
      granted @49 :UInt32;
      retryAfterMs @50 :UInt32;
      status @51 :Text;
    }
    bucketTransfer :group {
      movedAccount @52 :Text;
      level @53 :Float64;
    }
  }
}
