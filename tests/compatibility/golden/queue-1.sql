PRAGMA user_version = 1;
PRAGMA application_id = 1380733233;
BEGIN TRANSACTION;
CREATE TABLE entries (
            seq INTEGER PRIMARY KEY AUTOINCREMENT, name TEXT NOT NULL UNIQUE, tenant TEXT NOT NULL,
            kind TEXT NOT NULL, safe INTEGER NOT NULL, question BLOB NOT NULL, work REAL NOT NULL,
            created_s REAL NOT NULL, expires_s REAL NOT NULL, state INTEGER NOT NULL, token INTEGER NOT NULL,
            attempts INTEGER NOT NULL, ended_s REAL, end TEXT, answer BLOB, seal BLOB NOT NULL);
INSERT INTO "entries" VALUES(1,'waits','farm','query',1,X'7175657374696F6E2031',10.0,1000.0,10000.0,0,0,0,NULL,NULL,NULL,X'F037BA92DE5B1854B156F941');
INSERT INTO "entries" VALUES(2,'withdrawn','farm','query',1,X'7175657374696F6E2032',20.5,1000.0,10000.0,0,0,0,NULL,NULL,NULL,X'7BB406959CCFE2359459E5FB');
INSERT INTO "entries" VALUES(3,'begun','farm','booking',0,X'7175657374696F6E2033',30.0,1000.0,10000.0,1,7,1,NULL,NULL,NULL,X'E033CBEB3A316EBB5A470D3C');
CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
INSERT INTO "meta" VALUES('token',7);
CREATE INDEX waiting ON entries (tenant, seq) WHERE state = 0;
CREATE INDEX under_way ON entries (seq) WHERE state = 1;
CREATE INDEX expiring ON entries (expires_s) WHERE state = 0;
CREATE INDEX ended ON entries (ended_s) WHERE state = 2;
DELETE FROM "sqlite_sequence";
INSERT INTO "sqlite_sequence" VALUES('entries',3);
COMMIT;
